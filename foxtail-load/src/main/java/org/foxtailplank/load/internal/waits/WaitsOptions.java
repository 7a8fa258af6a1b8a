package org.foxtailplank.load.internal.waits;

import java.nio.file.Path;
import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Argument;

/** Options of {@code foxtail-load waits}. */
public final class WaitsOptions extends ProgramOptions {

    @Argument(
            index = 0,
            metaVar = "LOG",
            required = true,
            usage = "log lines of all nodes, in the order of their times")
    private Path mLog;

    Path log() {
        return mLog;
    }
}
