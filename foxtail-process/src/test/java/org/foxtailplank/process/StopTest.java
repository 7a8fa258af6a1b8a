package org.foxtailplank.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.LogManager;
import org.testng.annotations.Test;

/** Ends real processes in each way. */
public final class StopTest {
    private static final int LIMIT_SECONDS = 60;

    /** A program that waits for its stop, or breaks an invariant beside a thread that goes on. */
    public static final class Waiting {
        private Waiting() {}

        /** Starts it. */
        public static void main(String[] args) {
            Launcher.named("waiting").main(args, new ProgramOptions(), Waiting::run);
        }

        private static ExitCode run(ProgramOptions options, StopSignal stop)
                throws InterruptedException {
            if (options.settingsFile().isPresent()) {
                new Thread(
                                () -> {
                                    try {
                                        stop.await();
                                        new CountDownLatch(1).await();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                })
                        .start();
                throw new IllegalStateException("a thing that can't be");
            }
            System.out.println("waiting");
            stop.await();
            // What the hook of java.util.logging does at an unknown moment of the stop.
            LogManager.getLogManager().reset();
            Log.of("process").info("Nothing is left in flight.");
            System.out.println("finished what was in flight");
            return ExitCode.DONE;
        }
    }

    /**
     * An operator stops an entry with SIGTERM: it finishes its work first, and its exit status says
     * that it stopped well, not that it crashed.
     */
    @Test
    void sigtermLetsTheProgramFinishAndEndWithItsOwnStatus() throws Exception {
        Process process = start();
        try (BufferedReader out = process.inputReader()) {
            assertEquals(out.readLine(), "waiting");
            process.toHandle().destroy();
            assertEquals(out.readLine(), "finished what was in flight");
            assertEquals(exitOf(process), 0);
        }
    }

    /**
     * An operator who stops an entry sees nothing of how it left. The log manager's own shutdown
     * hook took the handlers away before the entry had finished what was in flight.
     */
    @Test
    void whatIsLoggedDuringTheStopIsStillWritten() throws Exception {
        Process process = start();
        try (BufferedReader out = process.inputReader();
                BufferedReader err = process.errorReader()) {
            assertEquals(out.readLine(), "waiting");
            process.toHandle().destroy();
            assertEquals(exitOf(process), 0);
            assertTrue(err.lines().anyMatch(l -> l.contains("Nothing is left in flight.")));
        }
    }

    /** A broken invariant must end the process, whatever other threads it has. */
    @Test
    void aBrokenInvariantEndsTheProcessWithStatusOne() throws Exception {
        Process process = start("--settings", "any");
        try (BufferedReader err = process.errorReader()) {
            String line = err.readLine();
            assertTrue(line.contains("An invariant is broken"), line);
            assertTrue(line.contains("a thing that can't be"), line);
            assertEquals(exitOf(process), 1);
        }
    }

    private static Process start(String... args) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        Waiting.class.getName());
        builder.command().addAll(List.of(args));
        return builder.start();
    }

    private static int exitOf(Process process) throws InterruptedException {
        assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "it goes on");
        return process.exitValue();
    }
}
