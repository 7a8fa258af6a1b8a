package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Jobs whose submissions were rejected since the store took no record, and whose callers are
 * expected to submit them again.
 *
 * <p>They count as demand, so that VMs can join the pools before the store returns, and their
 * objectives count from their first submission: taken for new when they are accepted at last, jobs
 * that are late would make others late too.
 */
final class UnstoredJobs {
    /** Time for which a caller is expected to come back, in milliseconds. */
    private static final long RETURN_MS = 2000;

    /** Time for which the first submission is known, in milliseconds. */
    private static final long RETENTION_MS = 20_000;

    private static final int MAX_JOBS = 10_000;

    /** Jobs in the order of their last submissions. */
    private final Map<String, Entry> mJobs = new LinkedHashMap<>();

    private record Entry(UnstoredJob job, long firstMs, long lastMs) {}

    /** Records a rejected submission; returns whether it is the first one of its job. */
    boolean add(UnstoredJob job, long nowMs) {
        removeOld(nowMs);
        Entry known = mJobs.remove(job.id());
        if (mJobs.size() < MAX_JOBS) {
            long firstMs = known == null ? nowMs - job.ageMs() : known.firstMs();
            mJobs.put(job.id(), new Entry(job, firstMs, nowMs));
        }
        return known == null;
    }

    private void removeOld(long nowMs) {
        Iterator<Entry> entries = mJobs.values().iterator();
        while (entries.hasNext() && nowMs - entries.next().lastMs() > RETENTION_MS) {
            entries.remove();
        }
    }

    /** Removes a job that was accepted; returns the time of its first submission. */
    Optional<Long> remove(String id) {
        return Optional.ofNullable(mJobs.remove(id)).map(Entry::firstMs);
    }

    /**
     * Capacity that the jobs of a service need whose callers are expected to come back, in
     * thousandths of a core.
     */
    double milliCores(String service, OrganisationCaps caps, long nowMs) {
        Map<String, Double> demands = new HashMap<>();
        for (Entry e : mJobs.values()) {
            if (e.job().service().equals(service) && nowMs - e.lastMs() <= RETURN_MS) {
                demands.merge(e.job().organisation(), (double) e.job().milliCores(), Double::sum);
            }
        }
        return caps.limit(demands, service);
    }
}
