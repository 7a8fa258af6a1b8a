package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps workers for the standing tasks whose VMs are to be rebooted.
 *
 * <p>Such a task is only stopped when it has a place elsewhere. Where the queue's jobs wait they
 * take any room as soon as it is free, and the task would find none for as long as they do: workers
 * that admit it get no other new tasks until it has moved.
 */
final class StandingPlaces {
    /** Workers that are kept for each task that a step may miss: the next move's too. */
    private static final int KEPT_FOR_EACH = 2;

    private final Scheduler mScheduler;

    StandingPlaces(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Chooses the workers that are kept from now on; those kept so far are free otherwise. */
    void keep(Iterable<VmState> vms, long nowMs) {
        Map<ActiveStep, List<TaskSlot>> moving = moving(vms);
        Set<WorkerState> before = new HashSet<>();
        for (WorkerState w : mScheduler.workers()) {
            if (w.isKept()) {
                before.add(w);
                w.kept(false);
            }
        }
        moving.forEach((step, slots) -> keep(slots, before, nowMs));
    }

    /** The tasks that have to move, by step. */
    private Map<ActiveStep, List<TaskSlot>> moving(Iterable<VmState> vms) {
        Map<ActiveStep, List<TaskSlot>> moving = new LinkedHashMap<>();
        for (VmState v : vms) {
            boolean leaves = v.planned().isPresent() && v.isRebooting();
            if (leaves) {
                mScheduler.worker(v.info().worker()).ifPresent(w -> addStanding(w, moving));
            }
        }
        return moving;
    }

    private static void addStanding(WorkerState worker, Map<ActiveStep, List<TaskSlot>> moving) {
        for (TaskRun r : worker.runs()) {
            if (r.slot().spec().mode().standing() && r.phase() != RunPhase.STOPPING) {
                moving.computeIfAbsent(r.slot().step(), s -> new ArrayList<>()).add(r.slot());
            }
        }
    }

    private void keep(List<TaskSlot> slots, Set<WorkerState> before, long nowMs) {
        TaskSlot slot = slots.get(0);
        int each = Math.max(1, slot.spec().placement().maxPerWorker());
        int atOnce = Math.max(1, slot.spec().mode().mayMiss());
        int needed = Math.min((slots.size() + each - 1) / each, KEPT_FOR_EACH * atOnce);
        List<WorkerState> places = new ArrayList<>();
        for (WorkerState w : mScheduler.workersOf(slot.step().job().order().service())) {
            if (!w.isKept() && WorkerChooser.couldRun(slot, w, nowMs)) {
                places.add(w);
            }
        }
        places.sort(
                Comparator.comparing((WorkerState w) -> !before.contains(w))
                        .thenComparing(w -> -w.free().milliProcessors())
                        .thenComparing(WorkerState::id));
        places.stream().limit(needed).forEach(w -> w.kept(true));
    }
}
