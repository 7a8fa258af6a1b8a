package org.foxtailplank.load.internal.waits;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;

/** Prints for what jobs waited. */
public final class WaitsProgram implements Program<WaitsOptions> {
    private final PrintStream mOut;

    /** A program that prints there. */
    public WaitsProgram(PrintStream out) {
        mOut = out;
    }

    @Override
    public ExitCode run(WaitsOptions options, StopSignal stop) throws ProcessException {
        WaitLog log = read(options.log());
        new WaitTable(log).lines().forEach(mOut::println);
        return ExitCode.DONE;
    }

    private static WaitLog read(Path file) throws ProcessException {
        WaitLog log = new WaitLog();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                log.line(line);
            }
        } catch (IOException e) {
            throw ProcessException.usage(
                    "The log " + file + " can't be read: " + e.getMessage() + ".");
        }
        if (log.lines() == 0) {
            throw ProcessException.usage(
                    "The log " + file + " holds no log lines of nodes: {\"ms\":..,\"kind\":..}.");
        }
        return log;
    }
}
