package org.foxtailplank.process;

/** Exit status of a program. */
public enum ExitCode {
    /** The program succeeded. */
    DONE(0),
    /** The program failed, or a check did not hold. */
    FAILED(1),
    /** The command line or the settings are invalid; nothing was done. */
    USAGE(2);

    private final int mStatus;

    ExitCode(int status) {
        mStatus = status;
    }

    /** Returns the exit status of the process. */
    public int status() {
        return mStatus;
    }
}
