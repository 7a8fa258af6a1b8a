package org.foxtailplank.internal.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.request.RequestClass;

/**
 * Selects batch tasks of a pool to preempt for other work.
 *
 * <p>Guards against urgent work that waits behind long batch tasks in a full fleet. Batch tasks are
 * throttled if only processors are missing, else checkpointed.
 */
final class PreemptionPlanner {

    private static final int MAX_CANDIDATES = 16;
    private static final long MIN_RUN_MS = 300_000;

    /** Teams with the highest usage per quota are preempted first, then the largest tasks. */
    private static final Comparator<PlacedTask> VICTIM_ORDER =
            Comparator.comparingDouble((PlacedTask t) -> -t.job().team().usagePerQuota())
                    .thenComparingLong(t -> -t.reserved().milliProcessors());

    private final PoolEntry mPool;
    private final long mTotalMilliProcessors;
    private final long mNowMs;

    PreemptionPlanner(PoolEntry pool, long totalMilliProcessors, long nowMs) {
        mPool = pool;
        mTotalMilliProcessors = totalMilliProcessors;
        mNowMs = nowMs;
    }

    /**
     * Returns the cheapest preemption for a task of the job; empty if there is none or the quota
     * forbids it.
     */
    Optional<PreemptionPlan> find(JobEntry job) {
        Resources declared = Resources.declaredBy(job.spec());
        boolean urgent = job.spec().urgency() == RequestClass.URGENT;
        long requested = declared.milliProcessors();
        boolean within =
                urgent
                        ? job.team().isUrgentWithinQuota(mTotalMilliProcessors, requested)
                        : job.team().isWithinQuota(mTotalMilliProcessors, requested);
        if (!within && !urgent) {
            return Optional.empty();
        }
        Predicate<PlacedTask> eligible =
                within ? t -> mayPreempt(t, job, urgent) : t -> isOwnTeam(t, job);
        PreemptionPlan best = null;
        int found = 0;
        for (WorkerEntry w : mPool.workers()) {
            if (!w.accepts(urgent, mNowMs) || !declared.fitsIn(w.capacity())) {
                continue;
            }
            Optional<PreemptionPlan> plan = planFor(w, job, eligible);
            if (plan.isPresent() && (best == null || plan.get().cost() < best.cost())) {
                best = plan.get();
            }
            if (plan.isPresent() && ++found >= MAX_CANDIDATES) {
                break;
            }
        }
        return Optional.ofNullable(best);
    }

    /** A team over its quota may still preempt its own batch work for its urgent work. */
    private static boolean isOwnTeam(PlacedTask t, JobEntry job) {
        return t.isPreemptible() && t.job().team() == job.team();
    }

    /**
     * Non-urgent work may preempt only batch tasks of a team over its quota that have run for a
     * minimum time. Otherwise tasks that do not divide a quota evenly would preempt each other in
     * turns.
     */
    private boolean mayPreempt(PlacedTask t, JobEntry job, boolean urgent) {
        if (!t.isPreemptible() || urgent) {
            return t.isPreemptible();
        }
        boolean isOver = t.job().team().isOverQuota(mTotalMilliProcessors);
        return isOver && t.job().team() != job.team() && mNowMs - t.phaseSinceMs() >= MIN_RUN_MS;
    }

    private Optional<PreemptionPlan> planFor(
            WorkerEntry w, JobEntry job, Predicate<PlacedTask> eligible) {
        boolean urgent = job.spec().urgency() == RequestClass.URGENT;
        Resources missing = job.estimate().reserve(w.capacity()).minus(w.free());
        List<PlacedTask> batch = w.tasks().stream().filter(eligible).sorted(VICTIM_ORDER).toList();
        if (urgent && missing.memoryBytes() <= 0 && missing.accelerators() <= 0) {
            Optional<PreemptionPlan> throttling = byThrottling(w, batch, missing.milliProcessors());
            if (throttling.isPresent()) {
                return throttling;
            }
        }
        return byCheckpoint(w, batch, missing);
    }

    private static Optional<PreemptionPlan> byThrottling(
            WorkerEntry w, List<PlacedTask> batch, long missingMilliProcessors) {
        List<PlacedTask> victims = new ArrayList<>();
        long missing = missingMilliProcessors;
        for (PlacedTask t : batch) {
            if (missing <= 0) {
                break;
            }
            if (t.phase() == TaskPhase.RUNNING) {
                victims.add(t);
                missing -=
                        t.reserved().milliProcessors()
                                - PlacedTask.throttledProcessors(t.reserved());
            }
        }
        return missing <= 0 ? Optional.of(new PreemptionPlan(w, victims, true)) : Optional.empty();
    }

    private static Optional<PreemptionPlan> byCheckpoint(
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
        return enough ? Optional.of(new PreemptionPlan(w, victims, false)) : Optional.empty();
    }
}
