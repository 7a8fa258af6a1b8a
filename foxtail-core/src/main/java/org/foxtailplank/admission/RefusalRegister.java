package org.foxtailplank.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps a job that was sent to several nodes from being refused by one and stored by another.
 *
 * <p>Nodes refuse a job only if the owner agrees, which knows the jobs that other nodes have handed
 * over to it. While an entry may be missing, as after a takeover or while the store fails, the
 * owner doesn't agree, and the job is accepted.
 */
public final class RefusalRegister {
    /**
     * Longest time in which a node stores a job, in milliseconds. For this long after the outcome
     * of a handover its job isn't refused, and the owner must have been healthy for this long
     * before it agrees to a refusal. Deadlines of callers are limited to it.
     */
    public static final long STORE_PROTECTION_MS = 5000;

    /**
     * Time after an unknown outcome in which the job isn't refused, in milliseconds: its node
     * appends it again until the deadline, and the store may still apply an earlier append.
     */
    static final long UNKNOWN_PROTECTION_MS = 2 * STORE_PROTECTION_MS;

    /** Longest time for which a refused job can't be stored, in milliseconds. */
    public static final long MAX_REFUSAL_MS = 3000;

    /** Most entries of each kind; beyond that, jobs are accepted. */
    static final int MAX_ENTRIES = 20_000;

    private final HealthyPeriod mOwnerHealth = new HealthyPeriod();

    /** Number of handovers without an outcome, by job. */
    private final Map<String, Integer> mPending = new HashMap<>();

    /** End of the protection of each job with a known outcome, in order. */
    private final Map<String, Long> mCompleted = new LinkedHashMap<>();

    /** End of the protection of each job with an unknown outcome, in order. */
    private final Map<String, Long> mUnknown = new LinkedHashMap<>();

    /** End of the refusal of each refused job, in the order of the refusals. */
    private final Map<String, Long> mRefused = new LinkedHashMap<>();

    /** Number of handovers without an outcome that have no entry. */
    private int mLeftOut;

    private long mNoRefusalUntilMs = Long.MIN_VALUE;

    /**
     * Records whether the owner is able to know of every job that is being stored: it has applied
     * the journal since its takeover, its admission is on, the store accepts its records, and its
     * reading of the journal is complete.
     *
     * @param nowMs time on the monotonic clock, as for all other methods
     */
    public void recordHealth(boolean healthy, long nowMs) {
        mOwnerHealth.sample(healthy, nowMs);
    }

    /**
     * Registers a refusal; returns false if the job may be stored, so that it isn't refused.
     *
     * @param keepMs time for which the job can't be stored, at most {@link #MAX_REFUSAL_MS}; it
     *     must end before its caller is told to return
     */
    public boolean tryRefuse(String job, long keepMs, long nowMs) {
        removeExpired(nowMs);
        boolean full = mRefused.size() >= MAX_ENTRIES || mLeftOut > 0;
        if (full
                || nowMs < mNoRefusalUntilMs
                || !mOwnerHealth.lasts(STORE_PROTECTION_MS, nowMs)
                || mPending.containsKey(job)
                || mCompleted.containsKey(job)
                || mUnknown.containsKey(job)) {
            return false;
        }
        long endMs = nowMs + Math.min(MAX_REFUSAL_MS, keepMs);
        Long earlierMs = mRefused.remove(job);
        mRefused.put(job, earlierMs == null ? endMs : Math.max(endMs, earlierMs));
        return true;
    }

    /**
     * Registers a job that is to be stored, until {@link #outcomeKnown} or {@link #outcomeUnknown};
     * returns false if it has just been refused.
     */
    public boolean tryStore(String job, long nowMs) {
        removeExpired(nowMs);
        Long refusedUntilMs = mRefused.get(job);
        if (refusedUntilMs != null && nowMs < refusedUntilMs) {
            return false;
        }
        if (mPending.size() < MAX_ENTRIES || mPending.containsKey(job)) {
            mPending.merge(job, 1, Integer::sum);
        } else {
            mLeftOut++;
        }
        return true;
    }

    /** Records that a job was stored, or certainly wasn't. */
    public void outcomeKnown(String job, long nowMs) {
        complete(job, mCompleted, STORE_PROTECTION_MS, nowMs);
    }

    /** Records that a job may be stored. */
    public void outcomeUnknown(String job, long nowMs) {
        complete(job, mUnknown, UNKNOWN_PROTECTION_MS, nowMs);
    }

    private void complete(String job, Map<String, Long> ends, long protectionMs, long nowMs) {
        removeExpired(nowMs);
        boolean registered = mPending.containsKey(job);
        if (registered) {
            mPending.computeIfPresent(job, (j, count) -> count > 1 ? count - 1 : null);
        } else {
            mLeftOut = Math.max(0, mLeftOut - 1);
        }
        ends.remove(job);
        if (registered && ends.size() < MAX_ENTRIES) {
            ends.put(job, nowMs + protectionMs);
        } else {
            mNoRefusalUntilMs = Math.max(mNoRefusalUntilMs, nowMs + protectionMs);
        }
    }

    private void removeExpired(long nowMs) {
        removeExpired(mCompleted, nowMs);
        removeExpired(mUnknown, nowMs);
        removeExpired(mRefused, nowMs);
    }

    /** Removes expired entries up to the first that lasts. Refusals don't end in their order. */
    private static void removeExpired(Map<String, Long> ends, long nowMs) {
        Iterator<Long> values = ends.values().iterator();
        while (values.hasNext() && values.next() <= nowMs) {
            values.remove();
        }
    }
}
