package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;

/**
 * Makes room for an urgent task by stopping less urgent ones.
 *
 * <p>Answers a worker pool filled by jobs of a lower priority when a standing task, or a task of a
 * higher priority, finds no room at all. What is stopped is as little as possible: on one worker,
 * runs that can go on from a checkpoint first, then those that have worked least.
 */
final class Preemption {
    /** A task must have found no room for so long, in milliseconds: runs end all the time. */
    private static final long WAIT_MS = 400;

    private Preemption() {}

    /** The runs to stop so that the task fits; empty if nothing helps, or room is coming. */
    static List<TaskRun> forTask(
            TaskSlot slot, List<WorkerState> workers, long waitedMs, long nowMs) {
        if (waitedMs < WAIT_MS || isRoomComing(slot, workers)) {
            return List.of();
        }
        Optional<List<TaskRun>> best = Optional.empty();
        for (WorkerState w : workers) {
            if (!w.isUsable(nowMs) || !WorkerChooser.mayRun(slot, w)) {
                continue;
            }
            Optional<List<TaskRun>> victims = victims(slot, w);
            if (victims.isPresent()
                    && (best.isEmpty() || lost(victims.get(), nowMs) < lost(best.get(), nowMs))) {
                best = victims;
            }
        }
        return best.orElse(List.of());
    }

    /** Whether stops that are under way already make the room. */
    private static boolean isRoomComing(TaskSlot slot, List<WorkerState> workers) {
        for (WorkerState w : workers) {
            Resources room = w.free();
            for (TaskRun r : w.runs()) {
                if (r.phase() == RunPhase.STOPPING) {
                    room = room.plus(r.slot().spec().reserved());
                }
            }
            boolean fits = slot.spec().reserved().fitsIn(room);
            if (fits && !w.isVacating() && WorkerChooser.mayRun(slot, w)) {
                return true;
            }
        }
        return false;
    }

    private static Optional<List<TaskRun>> victims(TaskSlot slot, WorkerState worker) {
        int priority = slot.step().job().order().terms().priority();
        List<TaskRun> candidates = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            boolean less = r.slot().step().job().order().terms().priority() > priority;
            boolean standing = r.slot().spec().mode().standing();
            if (less && !standing && r.phase() == RunPhase.RUNNING) {
                candidates.add(r);
            }
        }
        candidates.sort(
                Comparator.comparing((TaskRun r) -> !r.slot().spec().mode().checkpoints())
                        .thenComparing(TaskRun::startedMs, Comparator.reverseOrder()));
        Resources room = worker.free();
        List<TaskRun> chosen = new ArrayList<>();
        for (TaskRun r : candidates) {
            if (slot.spec().reserved().fitsIn(room)) {
                break;
            }
            room = room.plus(r.slot().spec().reserved());
            chosen.add(r);
        }
        return slot.spec().reserved().fitsIn(room) ? Optional.of(chosen) : Optional.empty();
    }

    /** Work that is thrown away, in milliseconds of thousandths of a core. */
    private static double lost(List<TaskRun> runs, long nowMs) {
        double sum = 0;
        for (TaskRun r : runs) {
            double age = nowMs - r.startedMs();
            double share = r.slot().spec().mode().checkpoints() ? 0.1 : 1;
            sum += share * age * r.slot().spec().demand().milliProcessors();
        }
        return sum;
    }
}
