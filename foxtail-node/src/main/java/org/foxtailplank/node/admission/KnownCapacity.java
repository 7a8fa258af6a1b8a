package org.foxtailplank.node.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.admission.AdmissionDecider;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.UnsettledJobs;
import org.foxtailplank.job.JobDefinition;

/**
 * The newest reports of the pools' capacity on a node, and the jobs that it accepted since.
 *
 * <p>Times are those of the node's monotonic clock. A report that is too old counts as unknown, so
 * that a node that is cut off, or whose owner is gone, accepts all jobs.
 */
public final class KnownCapacity {
    private final Map<String, ReportedPool> mPools = new HashMap<>();
    private final Map<String, Long> mAcceptedWork = new HashMap<>();
    private final UnsettledJobs mUnsettled = new UnsettledJobs();
    private long mToken = Long.MIN_VALUE;

    /**
     * Updates the pools in a report, unless a later owner has reported already. What a former owner
     * reported is dropped.
     *
     * @param token fencing token of the owner
     */
    public void update(long token, List<ReportedPool> pools) {
        if (token < mToken) {
            return;
        }
        if (token > mToken) {
            mPools.clear();
        }
        mToken = token;
        pools.forEach(p -> mPools.put(p.capacity().service(), p));
    }

    /**
     * Returns the pool of a service; empty without a recent report. The jobs that this node has
     * accepted since the measurement count as work ahead, and reduce its share.
     */
    public Optional<ReportedPool> pool(String service, long nowMs) {
        ReportedPool pool = mPools.get(service);
        if (pool == null || nowMs - pool.capacity().measuredMs() > AdmissionDecider.MAX_AGE_MS) {
            return Optional.empty();
        }
        long measuredMs = pool.capacity().measuredMs();
        long used = mUnsettled.workMissingIn(service, measuredMs, nowMs);
        AdmittedShare left = new AdmittedShare(Math.max(0, pool.share().work() - used));
        QueueCapacity capacity = pool.capacity().withAcceptedWork(used);
        return Optional.of(new ReportedPool(capacity, left, pool.part()));
    }

    /** Records that this node stores a job; those that are never refused are not batch work. */
    public void accepted(JobDefinition job, long nowMs) {
        if (job.isStanding() || job.timetable().isTimed()) {
            return;
        }
        long work = (long) job.estimatedWork();
        mUnsettled.add(job.id(), job.service(), work, nowMs);
        mAcceptedWork.merge(job.service(), work, Long::sum);
    }

    /** Records that the journal has a job. */
    public void known(String job, long nowMs) {
        mUnsettled.known(job, nowMs);
    }

    /** Records that a job is certainly not stored. */
    public void unstored(String job) {
        mUnsettled.removeUnstored(job);
    }

    /**
     * Returns the work of the jobs accepted since the last call, by service, in milliseconds times
     * thousandths of a core.
     */
    public Map<String, Long> takeAcceptedWork() {
        Map<String, Long> taken = Map.copyOf(mAcceptedWork);
        mAcceptedWork.clear();
        return taken;
    }
}
