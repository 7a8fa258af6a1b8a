package org.foxtailplank.schedule;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/** Estimates how often a worker of a service crashes, for whatever reason. */
final class CrashRate {
    private static final long WINDOW_MS = 30_000;
    private static final double MS_PER_S = 1000;

    /** Assumed for an owner that has seen nothing yet: one crash in 20 s of a worker. */
    private static final double PRIOR_CRASHES = 0.5;

    private static final double PRIOR_WORKER_S = 10;

    private final Deque<Long> mCrashesMs = new ArrayDeque<>();

    void recordCrash(long nowMs) {
        mCrashesMs.add(nowMs);
    }

    /**
     * Returns the crashes per second of one worker.
     *
     * @param workers the workers of the service
     * @param excluded number of crashes that are left out, since the rate is to explain them
     */
    double perSecond(Collection<WorkerState> workers, int excluded, long nowMs) {
        while (!mCrashesMs.isEmpty() && mCrashesMs.peek() < nowMs - WINDOW_MS) {
            mCrashesMs.remove();
        }
        double observedMs = 0;
        for (WorkerState w : workers) {
            observedMs += Math.min(WINDOW_MS, nowMs - w.firstSeenMs());
        }
        double crashes = Math.max(0, mCrashesMs.size() - excluded);
        return (crashes + PRIOR_CRASHES) / (observedMs / MS_PER_S + PRIOR_WORKER_S);
    }
}
