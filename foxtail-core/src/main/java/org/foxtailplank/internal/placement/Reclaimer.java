package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.request.RequestClass;

/**
 * Finds the batch work that gives way to other work of a pool.
 *
 * <p>Guards against urgent work that waits behind batch: it shows as a fleet filled by long tasks,
 * where nothing ends within the time that urgent work has. Batch work is throttled where processors
 * are all that is missing, else asked to checkpoint.
 */
final class Reclaimer {

    private static final int CANDIDATES = 16;
    private static final long SHORTEST_RUN_MS = 300_000;

    /** Teams that have the most for their quota give way first; then the largest tasks. */
    private static final Comparator<PlacedTask> ORDER =
            Comparator.comparingDouble((PlacedTask t) -> -t.job().team().pressure())
                    .thenComparingLong(t -> -t.reserved().milliProcessors());

    private final PoolEntry mPool;
    private final long mTotalMilli;
    private final long mNowMs;

    Reclaimer(PoolEntry pool, long totalMilli, long nowMs) {
        mPool = pool;
        mTotalMilli = totalMilli;
        mNowMs = nowMs;
    }

    /** The cheapest way to make room, if the job's team is within its quota. */
    Optional<Reclaim> find(JobEntry job) {
        Resources declared = Resources.declaredBy(job.spec());
        boolean urgent = job.spec().urgency() == RequestClass.URGENT;
        long more = declared.milliProcessors();
        boolean within =
                urgent
                        ? job.team().isUrgentWithin(mTotalMilli, more)
                        : job.team().isWithin(mTotalMilli, more);
        if (!within && !urgent) {
            return Optional.empty();
        }
        Predicate<PlacedTask> mayTake = within ? t -> mayTake(t, job, urgent) : t -> isOwn(t, job);
        Reclaim best = null;
        int seen = 0;
        for (WorkerEntry w : mPool.workers()) {
            if (!w.accepts(urgent, mNowMs) || !declared.fitsIn(w.capacity())) {
                continue;
            }
            Optional<Reclaim> way = on(w, job, mayTake);
            if (way.isPresent() && (best == null || way.get().cost() < best.cost())) {
                best = way.get();
            }
            if (way.isPresent() && ++seen >= CANDIDATES) {
                break;
            }
        }
        return Optional.ofNullable(best);
    }

    /** A team that is over its quota may still put its urgent work before its own batch work. */
    private static boolean isOwn(PlacedTask t, JobEntry job) {
        return t.canGiveWay() && t.job().team() == job.team();
    }

    /**
     * Batch work gives way to other than urgent work only where its team is well over its quota,
     * and not before it has run a while; else tasks that do not divide a quota evenly would put
     * each other out in turns.
     */
    private boolean mayTake(PlacedTask t, JobEntry job, boolean urgent) {
        if (!t.canGiveWay() || urgent) {
            return t.canGiveWay();
        }
        boolean isOver = t.job().team().isOver(mTotalMilli);
        return isOver && t.job().team() != job.team() && mNowMs - t.sinceMs() >= SHORTEST_RUN_MS;
    }

    private Optional<Reclaim> on(WorkerEntry w, JobEntry job, Predicate<PlacedTask> mayTake) {
        boolean urgent = job.spec().urgency() == RequestClass.URGENT;
        Resources missing = job.estimate().reserve(w.capacity()).minus(w.free());
        List<PlacedTask> batch = w.tasks().stream().filter(mayTake).sorted(ORDER).toList();
        if (urgent && missing.memoryBytes() <= 0 && missing.accelerators() <= 0) {
            Optional<Reclaim> slower = byThrottling(w, batch, missing.milliProcessors());
            if (slower.isPresent()) {
                return slower;
            }
        }
        return byCheckpoint(w, batch, missing);
    }

    private static Optional<Reclaim> byThrottling(
            WorkerEntry w, List<PlacedTask> batch, long missingMilli) {
        List<PlacedTask> victims = new ArrayList<>();
        long missing = missingMilli;
        for (PlacedTask t : batch) {
            if (missing <= 0) {
                break;
            }
            if (t.phase() == TaskPhase.RUNNING) {
                victims.add(t);
                missing -= t.reserved().milliProcessors() - PlacedTask.throttled(t.reserved());
            }
        }
        return missing <= 0 ? Optional.of(new Reclaim(w, victims, true)) : Optional.empty();
    }

    private static Optional<Reclaim> byCheckpoint(
            WorkerEntry w, List<PlacedTask> batch, Resources missing) {
        List<PlacedTask> victims = new ArrayList<>();
        Resources left = missing;
        for (PlacedTask t : batch) {
            if (left.fitsIn(Resources.NONE)) {
                break;
            }
            victims.add(t);
            left = left.minus(t.reserved());
        }
        boolean enough = left.fitsIn(Resources.NONE) && !victims.isEmpty();
        return enough ? Optional.of(new Reclaim(w, victims, false)) : Optional.empty();
    }
}
