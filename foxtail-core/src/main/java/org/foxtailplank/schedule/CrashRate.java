package org.foxtailplank.schedule;

import java.util.Collection;

/**
 * Estimates how often a worker of a service crashes without a task that causes it: from workers
 * that run no suspect, lately.
 */
final class CrashRate {
    /** Time after which an observation counts a third, in milliseconds. */
    private static final double DECAY_MS = 30_000;

    private static final double MS_PER_S = 1000;

    /** Assumed for an owner that has seen nothing yet: one crash in 20 s of a worker. */
    private static final double PRIOR_CRASHES = 0.5;

    private static final double PRIOR_WORKER_S = 10;

    private double mCrashes;
    private double mWorkerMs;
    private long mObservedMs = -1;

    /** Adds the time since the last observation, for all workers of the service. */
    void observe(Collection<WorkerState> workers, long nowMs) {
        if (mObservedMs >= 0) {
            double elapsedMs = nowMs - mObservedMs;
            double left = Math.exp(-elapsedMs / DECAY_MS);
            mCrashes *= left;
            mWorkerMs *= left;
            for (WorkerState w : workers) {
                mWorkerMs += w.suspects() == 0 && !w.isUnresponsive() ? elapsedMs : 0;
            }
        }
        mObservedMs = nowMs;
    }

    /** Counts a crash of a worker that ran no suspect. */
    void recordCrash() {
        mCrashes++;
    }

    /** Crashes per second of one worker. */
    double perSecond() {
        return (mCrashes + PRIOR_CRASHES) / (mWorkerMs / MS_PER_S + PRIOR_WORKER_S);
    }
}
