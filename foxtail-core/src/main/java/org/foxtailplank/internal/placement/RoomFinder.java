package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.request.RequestClass;

/** Finds a worker with room in one pool; what found none once is not looked for again. */
final class RoomFinder {

    private static final int CANDIDATES = 8;
    private static final long MILLI = 1000;

    private final PoolEntry mPool;
    private final long mNowMs;
    private final List<Resources> mNoRoom = new ArrayList<>();
    private final Resources mLargest;

    RoomFinder(PoolEntry pool, long nowMs) {
        mPool = pool;
        mNowMs = nowMs;
        mLargest = largest(pool);
    }

    private static Resources largest(PoolEntry pool) {
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

    /** The worker with the least room left over, in the rack that has fewest of the job's tasks. */
    Optional<WorkerEntry> find(JobEntry job) {
        Resources need = job.estimate().reserve(mLargest);
        if (mNoRoom.stream().anyMatch(r -> r.fitsIn(need))) {
            return Optional.empty();
        }
        boolean urgent = job.spec().urgency() == RequestClass.URGENT;
        WorkerEntry best = null;
        int seen = 0;
        int from = (int) (need.milliProcessors() / MILLI);
        for (int free = from; free < mPool.index().places() && seen < CANDIDATES; free++) {
            for (WorkerEntry w : mPool.index().at(free)) {
                if (!isFit(job, w, urgent)) {
                    continue;
                }
                seen++;
                if (best == null || tasksInRack(job, w) < tasksInRack(job, best)) {
                    best = w;
                }
                if (seen >= CANDIDATES) {
                    break;
                }
            }
        }
        if (best == null) {
            mNoRoom.add(need);
        }
        return Optional.ofNullable(best);
    }

    private boolean isFit(JobEntry job, WorkerEntry w, boolean urgent) {
        return w.accepts(urgent, mNowMs)
                && !job.failedOn().contains(w.worker().id())
                && job.estimate().reserve(w.capacity()).fitsIn(w.free())
                && Resources.declaredBy(job.spec()).fitsIn(w.capacity());
    }

    private static int tasksInRack(JobEntry job, WorkerEntry w) {
        return job.tasksIn(w.worker().rack());
    }
}
