package org.foxtailplank.job;

/** Where a job stands. */
public enum JobPhase {
    QUEUED(false),
    RUNNING(false),
    COMPLETED(true),
    FAILED(true),
    CANCELLED(true);

    private final boolean mFinal;

    JobPhase(boolean isFinal) {
        mFinal = isFinal;
    }

    /** Whether nothing of the job will run any more. */
    public boolean isFinal() {
        return mFinal;
    }
}
