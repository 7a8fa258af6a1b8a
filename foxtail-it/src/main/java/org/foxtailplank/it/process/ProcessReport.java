package org.foxtailplank.it.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** What this process and those that it has started are doing, for a condition that never came. */
public final class ProcessReport {
    /** Last lines of a process's output, and lines of all stacks, that are shown. */
    private static final int OUTPUT_LINES = 15;

    private static final int STACK_LINES = 150;

    private static final long DUMP_SECONDS = 10;

    private static final Set<Started> STARTED = ConcurrentHashMap.newKeySet();

    private record Started(Process process, Path output) {}

    private ProcessReport() {}

    /** A process was started; {@code output} is the file of its output. */
    public static void started(Process process, Path output) {
        STARTED.removeIf(s -> !s.process().isAlive());
        STARTED.add(new Started(process, output));
    }

    /** The stacks of this process, and of each that runs its stacks and its last output. */
    public static String text() {
        StringBuilder text = new StringBuilder("this process:\n").append(ownStacks());
        for (Started s : STARTED) {
            Process process = s.process();
            text.append("\nprocess ").append(process.pid());
            text.append(process.isAlive() ? "" : " (ended)");
            text.append(", last output:\n").append(lastOutput(s.output()));
            text.append("\nstacks:\n");
            text.append(process.isAlive() ? stacks(process.pid()) : "none");
        }
        return text.toString();
    }

    private static String ownStacks() {
        List<String> lines = new ArrayList<>();
        for (Map.Entry<Thread, StackTraceElement[]> e : Thread.getAllStackTraces().entrySet()) {
            lines.add(e.getKey().getName() + ' ' + e.getKey().getState());
            for (StackTraceElement frame : e.getValue()) {
                lines.add("    " + frame);
            }
        }
        return first(lines);
    }

    private static String stacks(long pid) {
        String jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        try {
            Path file = Files.createTempFile("stacks", ".txt");
            Process dump =
                    new ProcessBuilder(jcmd, Long.toString(pid), "Thread.print")
                            .redirectErrorStream(true)
                            .redirectOutput(file.toFile())
                            .start();
            // A process that is paused never answers.
            boolean answered = dump.waitFor(DUMP_SECONDS, TimeUnit.SECONDS);
            dump.destroyForcibly();
            String text = answered ? first(Files.readAllLines(file)) : "no answer";
            Files.delete(file);
            return text;
        } catch (IOException e) {
            return "no stacks: " + e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "no stacks: " + e;
        }
    }

    private static String first(List<String> lines) {
        return String.join("\n", lines.subList(0, Math.min(lines.size(), STACK_LINES)));
    }

    private static String lastOutput(Path file) {
        try {
            List<String> lines = Files.readAllLines(file);
            int from = Math.max(0, lines.size() - OUTPUT_LINES);
            return String.join("\n", lines.subList(from, lines.size()));
        } catch (IOException e) {
            return "no output: " + e;
        }
    }
}
