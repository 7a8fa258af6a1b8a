package org.foxtailplank.it.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** A process of the system, with the class path of the tests; its output goes to a file. */
public final class RunningProcess implements AutoCloseable {

    private static final long END_SECONDS = 20;
    private static final int HEAP_MB = 96;

    private final Process mProcess;
    private final Path mOutput;

    private RunningProcess(Process process, Path output) {
        mProcess = process;
        mOutput = output;
    }

    /** Starts a main class. */
    public static RunningProcess start(Path output, Class<?> main, List<String> arguments)
            throws IOException {
        return start(output, HEAP_MB, main, arguments);
    }

    /** Starts a main class with a heap of at most {@code heapMb}. */
    public static RunningProcess start(
            Path output, int heapMb, Class<?> main, List<String> arguments) throws IOException {
        String tests = System.getProperty("java.class.path");
        String classPath = System.getProperty("surefire.test.class.path", tests);
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx" + heapMb + 'm', "-XX:+UseSerialGC"));
        command.add("-XX:TieredStopAtLevel=1");
        command.addAll(List.of("-cp", classPath, main.getName()));
        command.addAll(arguments);
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                        .start();
        ProcessReport.started(process, output);
        return new RunningProcess(process, output);
    }

    /** Ends it at once, as a machine that loses its power (SIGKILL). */
    public void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor(END_SECONDS, TimeUnit.SECONDS);
    }

    /** Asks it to stop (SIGTERM) and returns its exit status. */
    public int stop() throws InterruptedException {
        mProcess.destroy();
        if (!mProcess.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("it did not stop: " + output());
        }
        return mProcess.exitValue();
    }

    /** Pauses it (SIGSTOP). */
    public void pause() throws IOException, InterruptedException {
        signal("-STOP");
    }

    /** Lets it go on (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("-CONT");
    }

    /** Tells it that its settings have changed (SIGHUP). */
    public void reload() throws IOException, InterruptedException {
        signal("-HUP");
    }

    /** Its process ID. */
    public long pid() {
        return mProcess.pid();
    }

    /** Whether it runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Its exit status; empty while it runs. */
    public OptionalInt exitStatus() {
        return isAlive() ? OptionalInt.empty() : OptionalInt.of(mProcess.exitValue());
    }

    /** What it has printed. */
    public String output() {
        try {
            return Files.readString(mOutput);
        } catch (IOException e) {
            return "no output: " + e;
        }
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
    }

    private void signal(String signal) throws IOException, InterruptedException {
        String pid = Long.toString(mProcess.pid());
        int status = new ProcessBuilder("kill", signal, pid).start().waitFor();
        if (status != 0) {
            throw new IOException("kill " + signal + " " + pid + " ended with " + status);
        }
    }
}
