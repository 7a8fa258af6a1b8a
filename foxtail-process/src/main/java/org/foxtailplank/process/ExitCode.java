package org.foxtailplank.process;

/** How a program ends, as its exit status says it. */
public enum ExitCode {
    /** It did what it was asked to. */
    DONE(0),
    /** It could not do it, or a promise did not hold. */
    FAILED(1),
    /** The command line or the settings are wrong; nothing was done. */
    USAGE(2);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    /** The exit status of the process. */
    public int status() {
        return mStatus;
    }
}
