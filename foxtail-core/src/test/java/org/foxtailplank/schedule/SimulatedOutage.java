package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A time during which the simulated store rejects everything, and what waits for its end. */
final class SimulatedOutage {
    static final SimulatedOutage NONE = new SimulatedOutage(Long.MAX_VALUE, Long.MIN_VALUE);

    /** Time after which the caller of a rejected job submits it again, in milliseconds. */
    private static final long RETURN_MS = 1000;

    /** Time from the beginning for which VMs may still be moved, in milliseconds. */
    private static final long CALL_LEASE_MS = 800;

    private final long mBeginMs;
    private final long mEndMs;
    private final List<TaskRun> mUnrecorded = new ArrayList<>();
    private final Map<String, Long> mReturnsMs = new LinkedHashMap<>();

    SimulatedOutage(long beginMs, long endMs) {
        mBeginMs = beginMs;
        mEndMs = endMs;
    }

    boolean isDown(long nowMs) {
        return nowMs >= mBeginMs && nowMs < mEndMs;
    }

    /** Whether the lease that the owner's last append has given it lasts. */
    boolean areCallsAllowed(long nowMs) {
        return !isDown(nowMs) || nowMs < mBeginMs + CALL_LEASE_MS;
    }

    /** Starts whose records wait for the store. */
    List<TaskRun> unrecorded() {
        return mUnrecorded;
    }

    /** Notes a job that was rejected. */
    void rejected(String job, long nowMs) {
        mReturnsMs.put(job, nowMs + RETURN_MS);
    }

    /** Removes and returns the jobs that are submitted again now. */
    List<String> returning(long nowMs) {
        List<String> jobs = new ArrayList<>();
        mReturnsMs.forEach(
                (job, atMs) -> {
                    if (nowMs >= atMs) {
                        jobs.add(job);
                    }
                });
        mReturnsMs.keySet().removeAll(jobs);
        return jobs;
    }
}
