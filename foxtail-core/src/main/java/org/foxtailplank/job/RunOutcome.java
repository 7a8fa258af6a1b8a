package org.foxtailplank.job;

/** How a run of a task ended. */
public enum RunOutcome {
    /** The run succeeded. */
    DONE(true),
    /** The run failed, by a fault of the task or of the worker. */
    FAILED(true),
    /** The run was stopped on request. */
    STOPPED(false),
    /** The lease of the run expired. */
    LAPSED(false),
    /** Another member of the gang ended. */
    GANG_BROKEN(false),
    /** The other members of the gang did not start in time. */
    GANG_ALONE(false);

    private final boolean mCounts;

    RunOutcome(boolean counts) {
        mCounts = counts;
    }

    /**
     * Whether the end changes the state of the job and must be stored before it is acknowledged.
     */
    public boolean counts() {
        return mCounts;
    }
}
