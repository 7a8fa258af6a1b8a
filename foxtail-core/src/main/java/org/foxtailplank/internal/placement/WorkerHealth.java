package org.foxtailplank.internal.placement;

import java.util.HashSet;
import java.util.Set;
import org.foxtailplank.id.JobId;

/**
 * Whether a worker can be trusted with tasks.
 *
 * <p>Guards against a worker that fails everything it starts: it is always free, so it draws task
 * after task. It shows as failures in a row from different jobs, and each failure costs it a pause,
 * so it can't draw many before it is left out. One trial task at a time lets it back in.
 */
final class WorkerHealth {

    private static final int FAILURES_TO_QUARANTINE = 3;
    private static final int MOST_STARTING = 4;
    private static final int MOST_STARTING_UNPROVEN = 2;
    private static final long FIRST_PAUSE_MS = 1_000;
    private static final long LONGEST_QUARANTINE_MS = 3_600_000;

    private final long mFirstQuarantineMs;
    private final Set<JobId> mFailedJobs = new HashSet<>();
    private int mFailures;
    private int mQuarantines;
    private long mClosedUntilMs;
    private boolean mOnTrial;
    private boolean mProven;

    WorkerHealth(long firstQuarantineMs) {
        mFirstQuarantineMs = firstQuarantineMs;
    }

    /** A task failed; returns whether the worker is quarantined for it. */
    boolean failed(JobId job, boolean jobRunsElsewhere, long nowMs) {
        mFailures++;
        mFailedJobs.add(job);
        boolean onlyThatJob = mFailedJobs.size() == 1 && !jobRunsElsewhere;
        boolean guilty = mOnTrial || mFailures >= FAILURES_TO_QUARANTINE && !onlyThatJob;
        long pause = FIRST_PAUSE_MS << Math.min(mFailures - 1, 5);
        if (guilty) {
            pause = mFirstQuarantineMs << Math.min(mQuarantines, 16);
            mQuarantines++;
            mOnTrial = true;
            mProven = false;
        }
        mClosedUntilMs = nowMs + Math.min(pause, LONGEST_QUARANTINE_MS);
        return guilty;
    }

    /** A task ran or ended well. */
    void succeeded() {
        mFailures = 0;
        mFailedJobs.clear();
        mOnTrial = false;
        mProven = true;
        mClosedUntilMs = 0;
    }

    /** Whether it may be given a task now; urgent work is not used for trials. */
    boolean accepts(boolean urgent, boolean idle, long nowMs) {
        if (nowMs < mClosedUntilMs) {
            return false;
        }
        return mFailures == 0 || !urgent && idle;
    }

    /**
     * Starts that may be unanswered at once.
     *
     * <p>Failures are only known after the answers, so without a bound a bad worker draws as many
     * tasks as fit on it before the first failure is seen.
     */
    int mostStarting() {
        return mProven ? MOST_STARTING : MOST_STARTING_UNPROVEN;
    }

    boolean isQuarantined() {
        return mOnTrial;
    }

    long closedUntilMs() {
        return mClosedUntilMs;
    }

    Set<JobId> failedJobs() {
        return mFailedJobs;
    }

    int failures() {
        return mFailures;
    }
}
