package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.request.RequestClass;

/**
 * Finds workers with enough free capacity in one pool; remembers requirements that no worker met.
 */
final class WorkerFinder {

    private static final int MAX_CANDIDATES = 8;
    private static final long MILLI_PER_PROCESSOR = 1000;

    private final PoolEntry mPool;
    private final long mNowMs;
    private final List<Resources> mUnplaceable = new ArrayList<>();
    private final Resources mLargestCapacity;

    WorkerFinder(PoolEntry pool, long nowMs) {
        mPool = pool;
        mNowMs = nowMs;
        mLargestCapacity = largestCapacity(pool);
    }

    private static Resources largestCapacity(PoolEntry pool) {
        Resources largest = Resources.NONE;
        for (WorkerEntry w : pool.workers()) {
            Resources c = w.capacity();
            largest =
                    new Resources(
                            Math.max(largest.milliProcessors(), c.milliProcessors()),
                            Math.max(largest.memoryBytes(), c.memoryBytes()),
                            Math.max(largest.accelerators(), c.accelerators()));
        }
        return largest;
    }

    /**
     * Returns a worker with little spare capacity, preferably in the rack with the fewest tasks of
     * the job.
     */
    Optional<WorkerEntry> find(JobEntry job) {
        Resources need = job.estimate().reserve(mLargestCapacity);
        if (mUnplaceable.stream().anyMatch(r -> r.fitsIn(need))) {
            return Optional.empty();
        }
        boolean urgent = job.spec().urgency() == RequestClass.URGENT;
        WorkerEntry best = null;
        int found = 0;
        int from = (int) (need.milliProcessors() / MILLI_PER_PROCESSOR);
        for (int free = from;
                free < mPool.index().bucketCount() && found < MAX_CANDIDATES;
                free++) {
            for (WorkerEntry w : mPool.index().bucket(free)) {
                if (!canRun(job, w, urgent)) {
                    continue;
                }
                found++;
                if (best == null || tasksInRack(job, w) < tasksInRack(job, best)) {
                    best = w;
                }
                if (found >= MAX_CANDIDATES) {
                    break;
                }
            }
        }
        if (best == null) {
            mUnplaceable.add(need);
        }
        return Optional.ofNullable(best);
    }

    private boolean canRun(JobEntry job, WorkerEntry w, boolean urgent) {
        return w.accepts(urgent, mNowMs)
                && !job.failedOn().contains(w.worker().id())
                && job.estimate().reserve(w.capacity()).fitsIn(w.free())
                && Resources.declaredBy(job.spec()).fitsIn(w.capacity());
    }

    private static int tasksInRack(JobEntry job, WorkerEntry w) {
        return job.tasksIn(w.worker().rack());
    }
}
