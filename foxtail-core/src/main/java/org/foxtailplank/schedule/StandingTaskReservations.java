package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reserves workers for the standing tasks whose VMs are to be rebooted.
 *
 * <p>Such a task is stopped only if another worker can take it. Batch tasks would otherwise use all
 * capacity as soon as it is freed, so workers that admit the task get no new batch tasks until it
 * has moved.
 */
final class StandingTaskReservations {
    /** Workers reserved for each concurrent move, to cover the next move too. */
    private static final int RESERVED_PER_CONCURRENT_MOVE = 2;

    private final Scheduler mScheduler;

    StandingTaskReservations(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Selects the workers to reserve from now on and releases all others. */
    void reserve(Iterable<ManagedVm> vms, long nowMs) {
        Map<ActiveStep, List<ActiveTask>> tasksByStep = tasksToMove(vms);
        Set<WorkerState> reservedBefore = new HashSet<>();
        for (WorkerState w : mScheduler.workers()) {
            if (w.isReservedForStanding()) {
                reservedBefore.add(w);
                w.setReservedForStanding(false);
            }
        }
        tasksByStep.forEach((step, tasks) -> reserve(tasks, reservedBefore, nowMs));
    }

    /** Standing tasks that have to move, by step. */
    private Map<ActiveStep, List<ActiveTask>> tasksToMove(Iterable<ManagedVm> vms) {
        Map<ActiveStep, List<ActiveTask>> tasksByStep = new LinkedHashMap<>();
        for (ManagedVm v : vms) {
            boolean leaving = v.planned().isPresent() && v.isRebooting();
            if (leaving) {
                mScheduler.worker(v.info().worker()).ifPresent(w -> addStanding(w, tasksByStep));
            }
        }
        return tasksByStep;
    }

    private static void addStanding(
            WorkerState worker, Map<ActiveStep, List<ActiveTask>> tasksByStep) {
        for (TaskRun r : worker.runs()) {
            if (r.task().spec().mode().standing() && r.phase() != RunPhase.STOPPING) {
                tasksByStep.computeIfAbsent(r.task().step(), s -> new ArrayList<>()).add(r.task());
            }
        }
    }

    private void reserve(List<ActiveTask> tasks, Set<WorkerState> reservedBefore, long nowMs) {
        ActiveTask task = tasks.get(0);
        int tasksPerWorker = Math.max(1, task.spec().placement().maxPerWorker());
        int maxConcurrent = Math.max(1, task.spec().mode().maxUnavailable());
        int needed =
                Math.min(
                        (tasks.size() + tasksPerWorker - 1) / tasksPerWorker,
                        RESERVED_PER_CONCURRENT_MOVE * maxConcurrent);
        List<WorkerState> places = new ArrayList<>();
        for (WorkerState w : mScheduler.workersOf(task.step().job().definition().service())) {
            if (!w.isReservedForStanding() && WorkerChooser.canTakeOverAfterBatch(task, w, nowMs)) {
                places.add(w);
            }
        }
        places.sort(
                Comparator.comparing(WorkerState::isRebootDue)
                        .thenComparing(w -> !reservedBefore.contains(w))
                        .thenComparing(w -> -w.free().milliProcessors())
                        .thenComparing(WorkerState::id));
        places.stream().limit(needed).forEach(w -> w.setReservedForStanding(true));
    }
}
