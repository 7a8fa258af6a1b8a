package org.foxtailplank.schedule;

import java.util.Collection;
import java.util.Optional;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.PlacementConstraints;

/**
 * Selects a worker for a task.
 *
 * <p>Prefers workers on which the task has not failed, then workers that are not slow, for a
 * standing task those whose VM need not be rebooted, then those in the rack of the data or, if the
 * step should keep together, of its other tasks. Batch tasks of a job go to the same zone if it has
 * room, so that the loss of a zone delays a part of the jobs and not nearly all of them. Among
 * equals it selects the fullest worker that fits, which leaves room for large tasks and frees whole
 * VMs.
 *
 * <p>Tasks that may crash their worker are spread over workers, so that a further crash tells which
 * of them it was. After two crashes such a task gets a worker without another suspect, where little
 * is lost, and no other task is started beside it until it is cleared.
 */
final class WorkerChooser {
    private static final double FAILED_BEFORE_COST = 1000;
    private static final double REMOTE_COST = 100;
    private static final double SLOW_COST = 300;

    /** A standing task would have to move once more, while its step allows few moves at a time. */
    private static final double REBOOT_DUE_COST = 200;

    /** Keeps the batch tasks of a job in one zone where it has room. */
    private static final double ZONE_COST = 4;

    /** Keeps suspects apart. */
    private static final double SUSPECT_COST = 50;

    /** A crash ends the standing tasks of the worker. */
    private static final double STANDING_LOSS_COST = 20;

    /** A crash ends the other tasks of the worker. */
    private static final double RUN_LOSS_COST = 1;

    private WorkerChooser() {}

    static Optional<WorkerState> choose(
            ActiveTask task, Collection<WorkerState> workers, long nowMs) {
        WorkerState best = null;
        double bestCost = Double.MAX_VALUE;
        for (WorkerState w : workers) {
            if (!canRunNow(task, w, nowMs)) {
                continue;
            }
            double cost = cost(task, w, nowMs);
            if (cost < bestCost) {
                best = w;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Whether the worker may run the task and has capacity for it. */
    static boolean canRunNow(ActiveTask task, WorkerState worker, long nowMs) {
        return canRunWithTicket(task, worker, nowMs) && hasTicket(task, worker, nowMs);
    }

    /** Whether the worker may run the task and has capacity for it, once it has a ticket. */
    static boolean canRunWithTicket(ActiveTask task, WorkerState worker, long nowMs) {
        return worker.isUsable(nowMs)
                && mayRun(task, worker)
                && task.spec().reserved().fitsIn(worker.free());
    }

    /**
     * Whether the worker has capacity for a task that would move there. A task that runs needs no
     * ticket until it has stopped, so an expired one will do.
     */
    static boolean canTakeOver(ActiveTask task, WorkerState worker, long nowMs) {
        return canRunWithTicket(task, worker, nowMs) && isAllowed(task, worker);
    }

    /** Whether the worker could take over the task once its batch tasks have ended. */
    static boolean canTakeOverAfterBatch(ActiveTask task, WorkerState worker, long nowMs) {
        return worker.isUsable(nowMs)
                && mayRun(task, worker)
                && task.spec().reserved().fitsIn(worker.freeWithoutBatch())
                && isAllowed(task, worker);
    }

    private static boolean isAllowed(ActiveTask task, WorkerState worker) {
        return !task.step().needsTickets() || task.step().advice(worker.incarnation()).isAllowed();
    }

    /** Whether the placement rules admit the worker, regardless of its capacity. */
    static boolean mayRun(ActiveTask task, WorkerState worker) {
        if (worker.isReservedForStanding() && !task.spec().mode().standing()) {
            return false;
        }
        boolean isolated = task.accountable().crashes().needsIsolation();
        if (worker.isIsolating() || isolated && worker.suspects() > 0) {
            return false;
        }
        PlacementConstraints constraints = task.spec().placement();
        if (!constraints.requiredLabel().isEmpty()
                && !worker.registration().hasLabel(constraints.requiredLabel())) {
            return false;
        }
        return constraints.maxPerWorker() == 0
                || task.step().runsOn(worker) < constraints.maxPerWorker();
    }

    /** Whether the worker admits the task by its policy, which a valid ticket shows. */
    static boolean hasTicket(ActiveTask task, WorkerState worker, long nowMs) {
        return !task.step().needsTickets()
                || task.step().ticket(worker.incarnation(), nowMs).isPresent();
    }

    private static double cost(ActiveTask task, WorkerState worker, long nowMs) {
        double cost = 0;
        if (task.failedWorkers().contains(worker.incarnation())) {
            cost += FAILED_BEFORE_COST;
        }
        if (isRemote(task, worker)) {
            cost += REMOTE_COST;
        }
        if (worker.isSlow(nowMs)) {
            cost += SLOW_COST;
        }
        if (worker.isRebootDue() && task.spec().mode().standing()) {
            cost += REBOOT_DUE_COST;
        }
        CrashHistory crashes = task.accountable().crashes();
        if (crashes.isSuspect()) {
            cost += SUSPECT_COST * worker.suspects();
        }
        if (crashes.needsIsolation()) {
            cost += STANDING_LOSS_COST * worker.standingRuns();
            cost += RUN_LOSS_COST * worker.runs().size();
        }
        if (!task.spec().mode().standing()) {
            cost +=
                    ZONE_COST
                            * worker.registration()
                                    .zone()
                                    .map(task.step().job()::distanceTo)
                                    .orElse(0.0);
        }
        double free = worker.free().milliProcessors();
        return cost + free / Math.max(1, worker.registration().capacity().milliProcessors());
    }

    static boolean isRemote(ActiveTask task, WorkerState worker) {
        PlacementConstraints constraints = task.spec().placement();
        if (!constraints.dataRack().isEmpty()) {
            return !worker.registration().rack().equals(Optional.of(constraints.dataRack()));
        }
        if (!constraints.sameRack()) {
            return false;
        }
        for (ActiveTask other : task.step().tasks()) {
            for (TaskRun r : other.runs()) {
                return !worker.registration().isInRackOf(r.worker().registration());
            }
        }
        return false;
    }
}
