package org.foxtailplank.job;

/** How a run of a task ended. */
public enum RunOutcome {
    /** It did its work. */
    DONE(true),
    /** It failed by its own fault or its worker's. */
    FAILED(true),
    /** It was told to stop. */
    STOPPED(false),
    /** Its lease ran out. */
    LAPSED(false),
    /** Another member of its gang ended. */
    GANG_BROKEN(false),
    /** It waited too long for the others of its gang. */
    GANG_ALONE(false);

    private final boolean mCounts;

    RunOutcome(boolean counts) {
        mCounts = counts;
    }

    /** Whether the end decides on the job, so that it must be stored before it is acknowledged. */
    public boolean counts() {
        return mCounts;
    }
}
