package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.fleet.Resources;

/**
 * Places a gang: all of its tasks at once, or none.
 *
 * <p>Guards against gangs that wait for each other's room: a gang of which only some tasks fit
 * holds their room until its members give up waiting. Racks are tried one by one first, since a
 * gang that has to keep together is slow across racks.
 */
final class GangPlacement {
    private GangPlacement() {}

    /** A worker for each task; empty if they don't all fit, or a run of the gang is still there. */
    static Map<TaskSlot, WorkerState> place(
            ActiveStep step, List<WorkerState> workers, long nowMs) {
        if (!step.slots().stream().allMatch(TaskSlot::isWaiting)) {
            return Map.of();
        }
        if (step.spec().placement().sameRack()) {
            for (List<WorkerState> rack : byRack(workers)) {
                Map<TaskSlot, WorkerState> placed = fit(step, rack, nowMs);
                if (!placed.isEmpty()) {
                    return placed;
                }
            }
        }
        return fit(step, workers, nowMs);
    }

    private static List<List<WorkerState>> byRack(List<WorkerState> workers) {
        Map<String, List<WorkerState>> racks = new LinkedHashMap<>();
        for (WorkerState w : workers) {
            racks.computeIfAbsent(w.info().rack(), r -> new ArrayList<>()).add(w);
        }
        return new ArrayList<>(racks.values());
    }

    private static Map<TaskSlot, WorkerState> fit(
            ActiveStep step, List<WorkerState> workers, long nowMs) {
        Map<TaskSlot, WorkerState> placed = new LinkedHashMap<>();
        Map<WorkerState, Integer> counts = new HashMap<>();
        Map<WorkerState, Resources> free = new HashMap<>();
        for (TaskSlot slot : step.slots()) {
            WorkerState found = null;
            for (WorkerState w : workers) {
                Resources room = free.getOrDefault(w, w.free());
                int most = step.spec().placement().maxPerWorker();
                boolean belowMost = most == 0 || counts.getOrDefault(w, 0) < most;
                boolean fits = step.spec().reserved().fitsIn(room);
                if (belowMost && fits && WorkerChooser.isAllowed(slot, w, nowMs)) {
                    found = w;
                    break;
                }
            }
            if (found == null) {
                return Map.of();
            }
            placed.put(slot, found);
            counts.merge(found, 1, Integer::sum);
            Resources room = free.getOrDefault(found, found.free());
            free.put(found, room.minus(step.spec().reserved()));
        }
        return placed;
    }
}
