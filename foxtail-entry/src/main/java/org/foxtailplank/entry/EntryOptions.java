package org.foxtailplank.entry;

import org.foxtailplank.process.ProgramOptions;
import org.kohsuke.args4j.Option;

/** Options of the binary {@code foxtail-entry}. */
final class EntryOptions extends ProgramOptions {

    @Option(
            name = "--new-deployment",
            usage =
                    "the claims stream was never written: take new idempotency keys at once instead"
                            + " of after one window")
    private boolean mNewDeployment;

    /** Whether an empty claims stream was never written, rather than lost. */
    boolean newDeployment() {
        return mNewDeployment;
    }
}
