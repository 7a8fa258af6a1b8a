package org.foxtailplank.load.internal.command;

import java.nio.file.Path;
import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Argument;

/** Options of {@code foxtail-load compare}. */
public final class CompareOptions extends ProgramOptions {

    @Argument(index = 0, metaVar = "A.json", required = true, usage = "the baseline")
    private Path mFirst;

    @Argument(index = 1, metaVar = "B.json", required = true, usage = "what is compared to it")
    private Path mSecond;

    Path first() {
        return mFirst;
    }

    Path second() {
        return mSecond;
    }
}
