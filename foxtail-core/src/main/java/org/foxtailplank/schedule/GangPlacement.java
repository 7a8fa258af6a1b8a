package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import org.foxtailplank.fleet.Resources;

/**
 * Places all tasks of a gang at once, or none.
 *
 * <p>Prevents deadlock between gangs that each hold part of the capacity that the other needs. For
 * gangs that should share a rack, single racks are tried first.
 */
final class GangPlacement {
    private GangPlacement() {}

    /** Returns a worker for each task; empty if not all fit or a run of the gang still exists. */
    static Map<ActiveTask, WorkerState> place(
            ActiveStep step, List<WorkerState> workers, long nowMs) {
        return place(step, workers, (t, w) -> WorkerChooser.canRunNow(t, w, nowMs));
    }

    /** The same as if the step had a ticket for each worker that it was not denied. */
    static Map<ActiveTask, WorkerState> placeWithTickets(
            ActiveStep step, List<WorkerState> workers, long nowMs) {
        return place(
                step,
                workers,
                (t, w) ->
                        WorkerChooser.canRunWithTicket(t, w, nowMs)
                                && !step.advice(w.incarnation()).isDenied());
    }

    private static Map<ActiveTask, WorkerState> place(
            ActiveStep step,
            List<WorkerState> workers,
            BiPredicate<ActiveTask, WorkerState> canRun) {
        if (!step.tasks().stream().allMatch(ActiveTask::isWaiting)) {
            return Map.of();
        }
        if (step.spec().placement().sameRack()) {
            for (List<WorkerState> rack : byRack(workers)) {
                Map<ActiveTask, WorkerState> placed = fit(step, rack, canRun);
                if (!placed.isEmpty()) {
                    return placed;
                }
            }
        }
        return fit(step, workers, canRun);
    }

    private static List<List<WorkerState>> byRack(List<WorkerState> workers) {
        Map<String, List<WorkerState>> racks = new LinkedHashMap<>();
        for (WorkerState w : workers) {
            w.registration()
                    .rack()
                    .ifPresent(r -> racks.computeIfAbsent(r, k -> new ArrayList<>()).add(w));
        }
        return new ArrayList<>(racks.values());
    }

    private static Map<ActiveTask, WorkerState> fit(
            ActiveStep step,
            List<WorkerState> workers,
            BiPredicate<ActiveTask, WorkerState> canRun) {
        Map<ActiveTask, WorkerState> placed = new LinkedHashMap<>();
        Map<WorkerState, Integer> counts = new HashMap<>();
        Map<WorkerState, Resources> free = new HashMap<>();
        for (ActiveTask task : step.tasks()) {
            WorkerState found = null;
            for (WorkerState w : workers) {
                Resources room = free.getOrDefault(w, w.free());
                int maxPerWorker = step.spec().placement().maxPerWorker();
                boolean belowMax = maxPerWorker == 0 || counts.getOrDefault(w, 0) < maxPerWorker;
                boolean fits = step.spec().reserved().fitsIn(room);
                if (belowMax && fits && canRun.test(task, w)) {
                    found = w;
                    break;
                }
            }
            if (found == null) {
                return Map.of();
            }
            placed.put(task, found);
            counts.merge(found, 1, Integer::sum);
            Resources room = free.getOrDefault(found, found.free());
            free.put(found, room.minus(step.spec().reserved()));
        }
        return placed;
    }
}
