package org.foxtailplank.node.caller;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** Jobs that this node has recently stored, or may have stored. */
final class RecentSubmissions {
    /**
     * Time for which a job is kept, in milliseconds: as long as the owner doesn't refuse a job
     * whose outcome is unknown. By then, this node has read the record.
     */
    static final long RETENTION_MS = 10_000;

    /** Most jobs that are kept; beyond that, every job counts as recent. */
    private static final int MAX_JOBS = 20_000;

    /** Time of the submission of each job, in order. */
    private final Map<String, Long> mJobs = new LinkedHashMap<>();

    void add(String job, long nowMs) {
        removeExpired(nowMs);
        mJobs.remove(job);
        if (mJobs.size() < MAX_JOBS) {
            mJobs.put(job, nowMs);
        }
    }

    boolean mayContain(String job, long nowMs) {
        removeExpired(nowMs);
        return mJobs.size() >= MAX_JOBS || mJobs.containsKey(job);
    }

    private void removeExpired(long nowMs) {
        Iterator<Long> times = mJobs.values().iterator();
        while (times.hasNext() && nowMs - times.next() > RETENTION_MS) {
            times.remove();
        }
    }
}
