package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;

/**
 * Selects runs to stop so that a more urgent task fits.
 *
 * <p>Applies if a standing task, or a task of a higher priority, finds no capacity because jobs of
 * a lower priority fill the pool. It stops as little work as possible on a single worker: runs with
 * checkpoints first, then the most recently started ones.
 */
final class Preemption {
    /** A task must have lacked capacity for this time, in milliseconds, as runs end continually. */
    private static final long MIN_WAIT_MS = 400;

    private Preemption() {}

    /** Returns the runs to stop; empty if nothing helps or capacity is about to be freed. */
    static List<TaskRun> forTask(
            ActiveTask task, List<WorkerState> workers, long waitedMs, long nowMs) {
        if (waitedMs < MIN_WAIT_MS || isRoomPending(task, workers)) {
            return List.of();
        }
        Optional<List<TaskRun>> best = Optional.empty();
        for (WorkerState w : workers) {
            boolean admitted =
                    WorkerChooser.mayRun(task, w) && WorkerChooser.hasTicket(task, w, nowMs);
            if (!w.isUsable(nowMs) || !admitted) {
                continue;
            }
            Optional<List<TaskRun>> victims = victims(task, w);
            if (victims.isPresent()
                    && (best.isEmpty()
                            || lostWork(victims.get(), nowMs) < lostWork(best.get(), nowMs))) {
                best = victims;
            }
        }
        return best.orElse(List.of());
    }

    /** Whether runs that are already being stopped free enough capacity. */
    private static boolean isRoomPending(ActiveTask task, List<WorkerState> workers) {
        for (WorkerState w : workers) {
            Resources room = w.free();
            for (TaskRun r : w.runs()) {
                if (r.phase() == RunPhase.STOPPING) {
                    room = room.plus(r.task().spec().reserved());
                }
            }
            boolean fits = task.spec().reserved().fitsIn(room);
            if (fits && !w.isEvacuating() && WorkerChooser.mayRun(task, w)) {
                return true;
            }
        }
        return false;
    }

    private static Optional<List<TaskRun>> victims(ActiveTask task, WorkerState worker) {
        int priority = task.step().job().definition().policy().priority();
        List<TaskRun> candidates = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            boolean lowerPriority =
                    r.task().step().job().definition().policy().priority() > priority;
            boolean standing = r.task().spec().mode().standing();
            if (lowerPriority && !standing && r.phase() == RunPhase.RUNNING) {
                candidates.add(r);
            }
        }
        candidates.sort(
                Comparator.comparing((TaskRun r) -> !r.task().spec().mode().checkpoints())
                        .thenComparing(TaskRun::startedMs, Comparator.reverseOrder()));
        Resources room = worker.free();
        List<TaskRun> chosen = new ArrayList<>();
        for (TaskRun r : candidates) {
            if (task.spec().reserved().fitsIn(room)) {
                break;
            }
            room = room.plus(r.task().spec().reserved());
            chosen.add(r);
        }
        return task.spec().reserved().fitsIn(room) ? Optional.of(chosen) : Optional.empty();
    }

    /** Work that is lost, in milliseconds times thousandths of a core. */
    private static double lostWork(List<TaskRun> runs, long nowMs) {
        double sum = 0;
        for (TaskRun r : runs) {
            double ageMs = nowMs - r.startedMs();
            double lostShare = r.task().spec().mode().checkpoints() ? 0.1 : 1;
            sum += lostShare * ageMs * r.task().spec().demand().milliProcessors();
        }
        return sum;
    }
}
