package org.foxtailplank.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Jobs that a node has accepted and that the owner's next measurement may not contain.
 *
 * <p>A report that was measured before such a job reached the owner shows room that the job will
 * use. Without this deduction a node would accept its share again with each report while a slow
 * store delays its jobs.
 */
public final class UnsettledJobs {
    /**
     * Time after which a job no longer counts, in milliseconds: twice the age up to which a report
     * is used. A job that the store did not confirm by then may never have been stored.
     */
    static final long MAX_AGE_MS = 2000;

    /** In the order in which they were accepted. */
    private final Map<String, Entry> mJobs = new LinkedHashMap<>();

    private static final class Entry {
        private final String mService;
        private final long mWork;
        private final long mAcceptedMs;
        private long mKnownMs = Long.MAX_VALUE;

        Entry(String service, long work, long acceptedMs) {
            mService = service;
            mWork = work;
            mAcceptedMs = acceptedMs;
        }
    }

    /**
     * Adds a job that is being stored.
     *
     * @param work its estimated work, in milliseconds times thousandths of a core
     * @param nowMs time on the local monotonic clock
     */
    public void add(String job, String service, long work, long nowMs) {
        removeExpired(nowMs);
        mJobs.remove(job);
        mJobs.put(job, new Entry(service, work, nowMs));
    }

    /** Records that the journal has the job, which the owner had read by then. */
    public void known(String job, long nowMs) {
        Entry entry = mJobs.get(job);
        if (entry != null) {
            entry.mKnownMs = Math.min(entry.mKnownMs, nowMs);
        }
    }

    /** Removes a job that is certainly not stored. */
    public void removeUnstored(String job) {
        mJobs.remove(job);
    }

    /**
     * Returns the work of a service's jobs that a measurement doesn't contain, and removes the jobs
     * that it contains.
     *
     * @param measuredMs time of the measurement on the local monotonic clock
     */
    public long workMissingIn(String service, long measuredMs, long nowMs) {
        removeExpired(nowMs);
        long work = 0;
        Iterator<Entry> entries = mJobs.values().iterator();
        while (entries.hasNext()) {
            Entry e = entries.next();
            if (e.mService.equals(service)) {
                if (e.mKnownMs <= measuredMs) {
                    entries.remove();
                } else {
                    work += e.mWork;
                }
            }
        }
        return work;
    }

    /** Removes jobs also while no measurement arrives. */
    private void removeExpired(long nowMs) {
        Iterator<Entry> entries = mJobs.values().iterator();
        while (entries.hasNext() && nowMs - entries.next().mAcceptedMs > MAX_AGE_MS) {
            entries.remove();
        }
    }

    /** Number of jobs that are kept. */
    int size() {
        return mJobs.size();
    }
}
