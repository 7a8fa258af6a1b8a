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

/** Tests how processes end after SIGTERM and after an unexpected error. */
public final class StopTest {
    private static final int LIMIT_SECONDS = 60;

    /** Waits for a stop request, or fails while another thread still runs. */
    public static final class WaitingProgram {
        private WaitingProgram() {}

        /** Runs the program. */
        public static void main(String[] args) {
            Launcher.named("waiting").main(args, new ProgramOptions(), WaitingProgram::run);
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
                throw new IllegalStateException("simulated failure");
            }
            System.out.println("waiting");
            stop.await();
            // Simulates the concurrent shutdown hook of java.util.logging.
            LogManager.getLogManager().reset();
            Log.of("process").info("Nothing is left in flight.");
            System.out.println("finished what was in flight");
            return ExitCode.DONE;
        }
    }

    /** A graceful stop must not look like a crash: the JVM's own status would be 143. */
    @Test
    void sigtermLetsTheProgramFinishAndEndWithItsOwnStatus() throws Exception {
        Process process = start();
        try (BufferedReader out = process.inputReader()) {
            assertEquals(out.readLine(), "waiting");
            process.toHandle().destroy();
            assertEquals(out.readLine(), "finished what was in flight");
            assertEquals(exitStatus(process), 0);
        }
    }

    /** The default log manager would remove its handlers before the program has stopped. */
    @Test
    void whatIsLoggedDuringTheStopIsStillWritten() throws Exception {
        Process process = start();
        try (BufferedReader out = process.inputReader();
                BufferedReader err = process.errorReader()) {
            assertEquals(out.readLine(), "waiting");
            process.toHandle().destroy();
            assertEquals(exitStatus(process), 0);
            assertTrue(err.lines().anyMatch(l -> l.contains("Nothing is left in flight.")));
        }
    }

    /** An unexpected error must end the process even if other threads still run. */
    @Test
    void aBrokenInvariantEndsTheProcessWithStatusOne() throws Exception {
        Process process = start("--settings", "any");
        try (BufferedReader err = process.errorReader()) {
            String line = err.readLine();
            assertTrue(line.contains("Unexpected error; the process exits."), line);
            assertTrue(line.contains("simulated failure"), line);
            assertEquals(exitStatus(process), 1);
        }
    }

    private static Process start(String... args) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        WaitingProgram.class.getName());
        builder.command().addAll(List.of(args));
        return builder.start();
    }

    private static int exitStatus(Process process) throws InterruptedException {
        assertTrue(process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS), "the process did not exit");
        return process.exitValue();
    }
}
