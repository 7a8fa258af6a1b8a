package org.foxtailplank.process;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Parses the command line, runs a program and maps its outcome to an exit status. */
public final class Launcher {
    private static final int USAGE_WIDTH = 100;

    private static final String LOG_MANAGER = "java.util.logging.manager";

    static {
        // Must be set before the first use of java.util.logging, which reads it only once.
        System.setProperty(LOG_MANAGER, NonResettingLogManager.class.getName());
    }

    private final String mName;
    private final PrintStream mOut;
    private final PrintStream mErr;

    private Launcher(String name, PrintStream out, PrintStream err) {
        mName = name;
        mOut = out;
        mErr = err;
    }

    /** Creates a launcher that prints to standard output and standard error. */
    public static Launcher named(String name) {
        return new Launcher(name, System.out, System.err);
    }

    /** Creates a launcher that prints to the given streams. */
    public static Launcher named(String name, PrintStream out, PrintStream err) {
        return new Launcher(name, out, err);
    }

    /** Runs a program as the main method of its process and exits with its status. */
    public <O extends ProgramOptions> void main(String[] args, O options, Program<O> program) {
        StopSignal stop = new StopSignal();
        CountDownLatch ended = new CountDownLatch(1);
        ExitCode[] code = {ExitCode.FAILED};
        // Waits for the program's graceful stop, then halts with its own status. Without the halt,
        // a
        // JVM exits with status 143 after SIGTERM, which looks like a crash.
        Thread hook = new Thread(() -> stopAndHalt(stop, ended, code), "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            code[0] = run(args, options, program, stop);
        } catch (RuntimeException | Error e) {
            // Other threads of the program may still run; exit below ends the process regardless.
            Log.of("process").fatal("Unexpected error; the process exits.", e);
        } finally {
            ended.countDown();
        }
        System.exit(code[0].status());
    }

    private static void stopAndHalt(StopSignal stop, CountDownLatch ended, ExitCode[] code) {
        stop.request();
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.out.flush();
        System.err.flush();
        Runtime.getRuntime().halt(code[0].status());
    }

    /** Runs a program and returns its exit code. */
    public <O extends ProgramOptions> ExitCode run(
            String[] args, O options, Program<O> program, StopSignal stop) {
        CmdLineParser parser =
                new CmdLineParser(
                        options,
                        ParserProperties.defaults()
                                .withUsageWidth(USAGE_WIDTH)
                                .withShowDefaults(false));
        try {
            parser.parseArgument(args);
            if (options.help()) {
                printHelp(parser);
                return ExitCode.DONE;
            }
            if (options.version()) {
                mOut.println(mName + " " + Version.text());
                return ExitCode.DONE;
            }
            Logs.configure(options.logFormat(), options.logLevel(), mErr);
            return program.run(options, stop);
        } catch (CmdLineException e) {
            mErr.println(Messages.usage(mName, e.getMessage()));
            return ExitCode.USAGE;
        } catch (ProcessException e) {
            mErr.println(mName + ": " + e.getMessage());
            return e.exitCode();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            mErr.println(mName + ": interrupted");
            return ExitCode.FAILED;
        }
    }

    private void printHelp(CmdLineParser parser) {
        mOut.println("usage: " + mName + " [options]");
        parser.printUsage(mOut);
        mOut.println();
        mOut.println("exit status: 0 done, 1 failed, 2 usage or settings are wrong");
    }
}
