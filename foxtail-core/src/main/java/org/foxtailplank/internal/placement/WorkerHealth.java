package org.foxtailplank.internal.placement;

import java.util.HashSet;
import java.util.Set;
import org.foxtailplank.id.JobId;

/**
 * Tracks failures of a worker and decides whether it may get tasks.
 *
 * <p>Guards against a faulty worker that attracts tasks because it is always free. Each failure
 * causes a backoff, and consecutive failures of different jobs a quarantine. After it, one trial
 * task at a time decides whether the worker gets tasks again.
 */
final class WorkerHealth {

    private static final int FAILURES_TO_QUARANTINE = 3;
    private static final int MAX_STARTING = 4;
    private static final int MAX_STARTING_UNPROVEN = 2;
    private static final long FIRST_BACKOFF_MS = 1_000;
    private static final long MAX_QUARANTINE_MS = 3_600_000;

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

    /** Records a failed task; returns whether the worker is quarantined for it. */
    boolean recordFailure(JobId job, boolean jobRunsElsewhere, long nowMs) {
        mFailures++;
        mFailedJobs.add(job);
        boolean onlyThatJob = mFailedJobs.size() == 1 && !jobRunsElsewhere;
        boolean quarantined = mOnTrial || mFailures >= FAILURES_TO_QUARANTINE && !onlyThatJob;
        long backoff = FIRST_BACKOFF_MS << Math.min(mFailures - 1, 5);
        if (quarantined) {
            backoff = mFirstQuarantineMs << Math.min(mQuarantines, 16);
            mQuarantines++;
            mOnTrial = true;
            mProven = false;
        }
        mClosedUntilMs = nowMs + Math.min(backoff, MAX_QUARANTINE_MS);
        return quarantined;
    }

    /** Records a task that runs or has succeeded. */
    void recordSuccess() {
        mFailures = 0;
        mFailedJobs.clear();
        mOnTrial = false;
        mProven = true;
        mClosedUntilMs = 0;
    }

    /** Returns whether the worker may get a task now; urgent tasks are not used as trials. */
    boolean accepts(boolean urgent, boolean idle, long nowMs) {
        if (nowMs < mClosedUntilMs) {
            return false;
        }
        return mFailures == 0 || !urgent && idle;
    }

    /**
     * Returns the maximum number of unconfirmed starts.
     *
     * <p>Limits the tasks that a faulty worker fails before the first failure is known.
     */
    int maxStarting() {
        return mProven ? MAX_STARTING : MAX_STARTING_UNPROVEN;
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
