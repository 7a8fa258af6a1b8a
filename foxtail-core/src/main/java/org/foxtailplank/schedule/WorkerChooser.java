package org.foxtailplank.schedule;

import java.util.Collection;
import java.util.Optional;
import org.foxtailplank.job.PlacementRule;

/**
 * Chooses the worker of a task.
 *
 * <p>A worker where the task has not failed goes first, then one near its data or, where the step
 * has to keep together, beside its other tasks; among equals the fullest one on which it fits, so
 * that room for large tasks and whole VMs stay free.
 */
final class WorkerChooser {
    private static final double AVOID_COST = 1000;
    private static final double FAR_COST = 100;
    private static final double SLOW_COST = 300;

    private WorkerChooser() {}

    static Optional<WorkerState> choose(
            TaskSlot slot, Collection<WorkerState> workers, long nowMs) {
        WorkerState best = null;
        double bestCost = Double.MAX_VALUE;
        for (WorkerState w : workers) {
            if (!isAllowed(slot, w, nowMs)) {
                continue;
            }
            double cost = cost(slot, w, nowMs);
            if (cost < bestCost) {
                best = w;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Whether the worker may run the task and has room for it. */
    static boolean isAllowed(TaskSlot slot, WorkerState worker, long nowMs) {
        return worker.isUsable(nowMs)
                && mayRun(slot, worker)
                && slot.spec().reserved().fitsIn(worker.free())
                && hasTicket(slot, worker, nowMs);
    }

    /** Whether the worker could run a standing task once all that ends there has ended. */
    static boolean couldRun(TaskSlot slot, WorkerState worker, long nowMs) {
        return worker.isUsable(nowMs)
                && mayRun(slot, worker)
                && slot.spec().reserved().fitsIn(worker.freeBesideStanding())
                && hasTicket(slot, worker, nowMs);
    }

    /** Whether the step's rules admit the worker, whatever its room. */
    static boolean mayRun(TaskSlot slot, WorkerState worker) {
        if (worker.isKept() && !slot.spec().mode().standing()) {
            return false;
        }
        PlacementRule rule = slot.spec().placement();
        if (!rule.requiredLabel().isEmpty()
                && !worker.info().labels().contains(rule.requiredLabel())) {
            return false;
        }
        return rule.maxPerWorker() == 0 || slot.step().on(worker) < rule.maxPerWorker();
    }

    private static boolean hasTicket(TaskSlot slot, WorkerState worker, long nowMs) {
        return slot.step().job().order().terms().advice().isEmpty()
                || slot.step().ticket(worker.id(), nowMs).isPresent();
    }

    private static double cost(TaskSlot slot, WorkerState worker, long nowMs) {
        double cost = 0;
        if (slot.avoid().contains(worker.id())) {
            cost += AVOID_COST;
        }
        if (isFar(slot, worker)) {
            cost += FAR_COST;
        }
        if (worker.isSlow(nowMs)) {
            cost += SLOW_COST;
        }
        double free = worker.free().milliProcessors();
        return cost + free / Math.max(1, worker.info().capacity().milliProcessors());
    }

    static boolean isFar(TaskSlot slot, WorkerState worker) {
        PlacementRule rule = slot.spec().placement();
        if (!rule.dataRack().isEmpty()) {
            return !rule.dataRack().equals(worker.info().rack());
        }
        if (!rule.sameRack()) {
            return false;
        }
        for (TaskSlot other : slot.step().slots()) {
            for (TaskRun r : other.runs()) {
                return !r.worker().info().rack().equals(worker.info().rack());
            }
        }
        return false;
    }
}
