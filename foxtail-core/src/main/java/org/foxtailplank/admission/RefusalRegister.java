package org.foxtailplank.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps a job that was sent to several nodes from being refused by one and stored by another.
 *
 * <p>Nodes refuse a job only if the owner agrees, which knows the jobs that other nodes have handed
 * over to it. While an entry may be missing, as after a takeover, the owner doesn't agree.
 */
public final class RefusalRegister {
    /**
     * Time after which a job that was handed over can be refused, in milliseconds. By then the
     * journal has it, or its node has given up: callers wait for three seconds by default.
     */
    static final long STORE_PROTECTION_MS = 5000;

    /**
     * Time for which a refused job can't be stored, in milliseconds: less than a second, which is
     * the earliest time at which its caller is told to return.
     */
    static final long REFUSAL_MS = 900;

    /**
     * Time from the takeover to the first refusal, in milliseconds: nodes notice the loss of the
     * former owner within 0.95 s, and append what they have handed over to it.
     */
    static final long TAKEOVER_DELAY_MS = 1000;

    /** Most entries of each kind; beyond that, jobs are accepted. */
    private static final int MAX_ENTRIES = 20_000;

    private final long mFirstRefusalMs;

    /** End of the protection of each job that was handed over, in order. */
    private final Map<String, Long> mHandedOver = new LinkedHashMap<>();

    /** End of the refusal of each refused job, in order. */
    private final Map<String, Long> mRefused = new LinkedHashMap<>();

    /**
     * Creates the register of an owner that has read the journal.
     *
     * @param nowMs time on the monotonic clock, as for all other methods
     */
    public RefusalRegister(long nowMs) {
        mFirstRefusalMs = nowMs + TAKEOVER_DELAY_MS;
    }

    /** Registers a refusal; returns false if the job may be stored, so that it isn't refused. */
    public boolean tryRefuse(String job, long nowMs) {
        removeExpired(nowMs);
        boolean full = mRefused.size() >= MAX_ENTRIES || mHandedOver.size() >= MAX_ENTRIES;
        if (full || nowMs < mFirstRefusalMs || mHandedOver.containsKey(job)) {
            return false;
        }
        mRefused.remove(job);
        mRefused.put(job, nowMs + REFUSAL_MS);
        return true;
    }

    /** Registers a job that is to be stored; returns false if it has just been refused. */
    public boolean tryStore(String job, long nowMs) {
        removeExpired(nowMs);
        if (mRefused.containsKey(job)) {
            return false;
        }
        mHandedOver.remove(job);
        if (mHandedOver.size() < MAX_ENTRIES) {
            mHandedOver.put(job, nowMs + STORE_PROTECTION_MS);
        }
        return true;
    }

    private void removeExpired(long nowMs) {
        removeExpired(mHandedOver, nowMs);
        removeExpired(mRefused, nowMs);
    }

    /** Entries expire in their order, as all of a kind last equally long. */
    private static void removeExpired(Map<String, Long> ends, long nowMs) {
        var entries = ends.values().iterator();
        while (entries.hasNext() && entries.next() <= nowMs) {
            entries.remove();
        }
    }
}
