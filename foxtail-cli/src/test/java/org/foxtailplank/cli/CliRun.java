package org.foxtailplank.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.foxtailplank.process.ExitCode;

/**
 * What one run of the operators' program came to.
 *
 * @param code how it ended
 * @param out what it printed
 * @param err what it printed as errors and progress
 */
record CliRun(ExitCode code, String out, String err) {
    static CliRun of(Map<String, String> environment, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = Cli.on(new PrintStream(out), new PrintStream(err), environment).run(args);
        return new CliRun(
                code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    static CliRun of(String... args) {
        return of(Map.of(), args);
    }
}
