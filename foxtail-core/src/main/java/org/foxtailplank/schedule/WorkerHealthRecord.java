package org.foxtailplank.schedule;

import java.util.HashSet;
import java.util.Set;

/**
 * Tracks whether a worker can run the tasks that it is given.
 *
 * <p>Guards against a worker that fails every task although its reports look healthy: it would
 * always have capacity and use up the attempts of one task after the other. Failures of two
 * different jobs without a success between them pause the worker; each further one doubles the
 * pause. A job counts only once, since its tasks may fail on every worker.
 */
final class WorkerHealthRecord {
    /** Number of different jobs that fail in a row before the worker is paused. */
    private static final int FAILED_JOBS_THRESHOLD = 2;

    /** First pause, in milliseconds. */
    private static final long FIRST_PAUSE_MS = 2000;

    /** Longest pause, in milliseconds; bounds how long a repaired worker stays unused. */
    private static final long LONGEST_PAUSE_MS = 8000;

    private final Set<String> mFailedJobs = new HashSet<>();
    private long mPauseMs = FIRST_PAUSE_MS;
    private long mPausedUntilMs;

    void recordSuccess() {
        mFailedJobs.clear();
        mPauseMs = FIRST_PAUSE_MS;
        mPausedUntilMs = 0;
    }

    void recordFailure(String job, long nowMs) {
        mFailedJobs.add(job);
        if (mFailedJobs.size() >= FAILED_JOBS_THRESHOLD) {
            pause(nowMs);
        }
    }

    /** Records that the worker rejected a command because it is unhealthy. */
    void recordRefusal(long nowMs) {
        pause(nowMs);
    }

    private void pause(long nowMs) {
        if (nowMs >= mPausedUntilMs) {
            mPausedUntilMs = nowMs + mPauseMs;
            mPauseMs = Math.min(LONGEST_PAUSE_MS, mPauseMs * 2);
        }
    }

    boolean isTrusted(long nowMs) {
        return nowMs >= mPausedUntilMs;
    }
}
