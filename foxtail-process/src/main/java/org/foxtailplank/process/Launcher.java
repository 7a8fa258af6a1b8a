package org.foxtailplank.process;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Starts a binary: reads its command line, runs it, and turns its outcome into an exit status. */
public final class Launcher {
    private static final int WIDTH = 100;

    private static final String LOG_MANAGER = "java.util.logging.manager";

    static {
        // Set here and not in a method of the log manager: calling one would start the usual log
        // manager first, which reads this property only once.
        System.setProperty(LOG_MANAGER, LastingLogManager.class.getName());
    }

    private final String mName;
    private final PrintStream mOut;
    private final PrintStream mErr;

    private Launcher(String name, PrintStream out, PrintStream err) {
        mName = name;
        mOut = out;
        mErr = err;
    }

    /** A launcher for a program of this name, on the process's own streams. */
    public static Launcher named(String name) {
        return new Launcher(name, System.out, System.err);
    }

    /** A launcher that prints to given streams. */
    public static Launcher named(String name, PrintStream out, PrintStream err) {
        return new Launcher(name, out, err);
    }

    /** Runs a program as the main of its process, which ends with the program. */
    public <O extends ProgramOptions> void main(String[] args, O options, Program<O> program) {
        StopSignal stop = new StopSignal();
        CountDownLatch ended = new CountDownLatch(1);
        ExitCode[] code = {ExitCode.FAILED};
        // Without the halt, a JVM that got SIGTERM ends with 143 however well it stopped, and
        // whoever runs it takes a graceful stop for a crash. The hook waits for the program's own
        // end, so nothing in flight is cut off.
        Thread hook = new Thread(() -> stopAndHalt(stop, ended, code), "stop");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            code[0] = run(args, options, program, stop);
        } catch (RuntimeException | Error e) {
            // A broken invariant stops the process; threads of its own would keep it up otherwise.
            Log.of("process").fatal("An invariant is broken; the process stops.", e);
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

    /** Runs a program and says how it ended. */
    public <O extends ProgramOptions> ExitCode run(
            String[] args, O options, Program<O> program, StopSignal stop) {
        CmdLineParser parser =
                new CmdLineParser(
                        options,
                        ParserProperties.defaults().withUsageWidth(WIDTH).withShowDefaults(false));
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
