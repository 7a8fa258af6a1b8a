package org.foxtailplank.load.internal.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.foxtailplank.load.internal.result.Comparison;
import org.foxtailplank.load.internal.result.LoadResult;
import org.foxtailplank.process.ExitCode;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.process.Program;
import org.foxtailplank.process.StopSignal;

/** Prints the comparison of two results. */
final class CompareProgram implements Program<CompareOptions> {

    private final PrintStream mOut;

    CompareProgram(PrintStream out) {
        mOut = out;
    }

    @Override
    public ExitCode run(CompareOptions options, StopSignal stop) throws ProcessException {
        Comparison.lines(read(options.first()), read(options.second())).forEach(mOut::println);
        return ExitCode.DONE;
    }

    private static LoadResult read(Path file) throws ProcessException {
        try {
            return LoadResult.read(file);
        } catch (IOException e) {
            throw ProcessException.usage(
                    "The result "
                            + file
                            + " can't be read: "
                            + e.getMessage()
                            + ". Give a file that foxtail-load run --json wrote.");
        }
    }
}
