package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Evacuates a worker before its VM is rebooted or moved to another pool.
 *
 * <p>A reboot ends all runs on the VM. Batch runs get time to finish, those with checkpoints less
 * than others. Standing tasks are stopped only while their step stays within its availability
 * budget and another worker can take them.
 *
 * <p>A move waits for batch runs, except for those of late jobs when the target is not the standby
 * pool. Otherwise a backlog would hold the VM while it is needed by jobs that can still meet their
 * objectives.
 */
final class WorkerEvacuation {
    /** Longest wait for runs that lose their work when stopped, in milliseconds. */
    private static final long MAX_WAIT_MS = 6000;

    /**
     * A late job's run that should end within this time is not stopped, in milliseconds: half of
     * the time that the move takes. Stopping all of them makes some large jobs late.
     */
    private static final long MAX_LATE_WAIT_MS = 800;

    private WorkerEvacuation() {}

    /** Stops runs of late jobs on a worker whose VM moves to another pool. */
    static void stopLateRuns(WorkerState worker, long nowMs, long nowWallMs) {
        for (TaskRun run : worker.runs()) {
            if (run.phase() == RunPhase.RUNNING && isLate(run, nowWallMs)) {
                long leftMs = run.task().spec().estimateMs() - (nowMs - run.startedMs());
                if (leftMs > MAX_LATE_WAIT_MS) {
                    run.requestStop("its job is late and its VM moves to another pool", nowMs);
                }
            }
        }
    }

    private static boolean isLate(TaskRun run, long nowWallMs) {
        ActiveTask task = run.task();
        boolean exempt = task.spec().mode().standing() || task.spec().placement().gang();
        return !exempt && CoreDemand.isLate(task.step().run(), nowWallMs);
    }

    /** Stops the runs that should be stopped now for a reboot. */
    static void stopRuns(WorkerState worker, List<WorkerState> others, long sinceMs, long nowMs) {
        for (TaskRun run : worker.runs()) {
            if (run.phase() == RunPhase.RUNNING && mayStop(run, others, sinceMs, nowMs)) {
                run.requestStop("its worker is evacuated for a reboot", nowMs);
            }
        }
    }

    private static boolean mayStop(
            TaskRun run, List<WorkerState> others, long sinceMs, long nowMs) {
        ActiveTask task = run.task();
        if (task.spec().mode().standing()) {
            return isWithinBudget(task) && hasPlace(task, others, nowMs);
        }
        long maxWaitMs = task.spec().mode().checkpoints() ? MAX_WAIT_MS / 2 : MAX_WAIT_MS;
        return nowMs - sinceMs > maxWaitMs;
    }

    /** Whether the step's availability budget allows the task to be stopped. */
    static boolean isWithinBudget(ActiveTask task) {
        int budget = Math.max(1, task.spec().mode().maxUnavailable());
        int unavailable = 0;
        for (ActiveTask other : task.step().tasks()) {
            unavailable += other != task && !other.isAvailable() ? 1 : 0;
        }
        return unavailable < budget;
    }

    /** Whether a place is left after those that the standing tasks being stopped will take. */
    private static boolean hasPlace(ActiveTask task, List<WorkerState> others, long nowMs) {
        List<WorkerState> places = new ArrayList<>(others);
        places.removeIf(w -> !WorkerChooser.canTakeOver(task, w, nowMs));
        for (WorkerState w : others) {
            for (TaskRun r : w.runs()) {
                boolean stopped = r.phase() == RunPhase.STOPPING && w.isEvacuating();
                if (stopped && r.task().spec().mode().standing()) {
                    removePlace(r.task(), places, nowMs);
                }
            }
        }
        return !places.isEmpty();
    }

    private static void removePlace(ActiveTask task, List<WorkerState> places, long nowMs) {
        for (int i = 0; i < places.size(); i++) {
            if (WorkerChooser.canTakeOver(task, places.get(i), nowMs)) {
                places.remove(i);
                return;
            }
        }
    }
}
