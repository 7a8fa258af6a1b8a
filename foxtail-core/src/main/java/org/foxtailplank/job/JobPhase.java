package org.foxtailplank.job;

/** Phase of a job. */
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

    /** Whether the job has ended and none of its tasks will run again. */
    public boolean isFinal() {
        return mFinal;
    }
}
