package org.foxtailplank.schedule;

import java.util.HashSet;
import java.util.Set;

/**
 * Whether a worker does what it is given.
 *
 * <p>Guards against a worker that fails all that it starts while its reports look good: without the
 * guard it is always free and draws task after task until their attempts are used up. Two failures
 * of different jobs in a row, with no task done between them, keep work away; the pause doubles
 * with each further one. A job whose tasks fail anywhere counts once.
 */
final class WorkerHealthRecord {
    /** Different jobs that fail in a row before the worker is blamed. */
    private static final int SUSPICIOUS_JOBS = 2;

    /** First pause, in milliseconds: about the run time of two tasks. */
    private static final long FIRST_PAUSE_MS = 2000;

    /** Longest pause, in milliseconds: a mended worker is back within it. */
    private static final long LONGEST_PAUSE_MS = 8000;

    private final Set<String> mFailedJobs = new HashSet<>();
    private long mPauseMs = FIRST_PAUSE_MS;
    private long mPausedUntilMs;

    void done() {
        mFailedJobs.clear();
        mPauseMs = FIRST_PAUSE_MS;
        mPausedUntilMs = 0;
    }

    void failed(String job, long nowMs) {
        mFailedJobs.add(job);
        if (mFailedJobs.size() >= SUSPICIOUS_JOBS) {
            pause(nowMs);
        }
    }

    /** The worker said that it is unhealthy. */
    void refused(long nowMs) {
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
