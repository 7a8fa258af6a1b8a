package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Empties a worker before its VM is rebooted, or moved to another pool.
 *
 * <p>A reboot ends at once all that runs there. Tasks that will end by themselves are waited for;
 * what can go on from a checkpoint is stopped sooner; standing tasks are stopped one of a step at a
 * time, and only while no more of the step are away than it may miss: more at a time would break
 * the service's availability budget.
 *
 * <p>A move waits for tasks, but for those of late jobs where the VM is lent to a queue whose jobs
 * can still be in time: a backlog after an outage would keep it for as long as its tasks take. In
 * {@code TurnReplayTest} 0.84 of the jobs of a turn beside a backlog are in time, 0.74 without.
 */
final class Vacating {
    /** How long to wait for tasks that lose their work when stopped, in milliseconds. */
    private static final long PATIENCE_MS = 6000;

    /**
     * A late job's run that ends within this time is waited for, in milliseconds: half of what the
     * move takes. In the turns of {@code TurnReplayTest} without a backlog stopping all of them
     * costs 0.04 of the large jobs in time; this limit costs none.
     */
    private static final long LATE_PATIENCE_MS = 800;

    private Vacating() {}

    /** Stops late jobs' runs on a worker whose VM is lent to jobs that can be in time. */
    static void lend(WorkerState worker, long nowMs, long nowWallMs) {
        for (TaskRun run : worker.runs()) {
            if (run.phase() == RunPhase.RUNNING && isLate(run, nowWallMs)) {
                long left = run.slot().spec().estimateMs() - (nowMs - run.startedMs());
                if (left > LATE_PATIENCE_MS) {
                    run.stopping("its job is late, and its VM is lent", nowMs);
                }
            }
        }
    }

    private static boolean isLate(TaskRun run, long nowWallMs) {
        TaskSlot slot = run.slot();
        boolean waits = slot.spec().mode().standing() || slot.spec().placement().gang();
        return !waits && CoreDemand.isLate(slot.step().run(), nowWallMs);
    }

    /** Stops what should be stopped now. */
    static void step(WorkerState worker, List<WorkerState> others, long sinceMs, long nowMs) {
        for (TaskRun run : worker.runs()) {
            if (run.phase() == RunPhase.RUNNING && mayStop(run, others, sinceMs, nowMs)) {
                run.stopping("its worker is vacated", nowMs);
            }
        }
    }

    private static boolean mayStop(
            TaskRun run, List<WorkerState> others, long sinceMs, long nowMs) {
        TaskSlot slot = run.slot();
        if (slot.spec().mode().standing()) {
            return isWithinBudget(slot) && hasPlace(slot, others, nowMs);
        }
        long patience = slot.spec().mode().checkpoints() ? PATIENCE_MS / 2 : PATIENCE_MS;
        return nowMs - sinceMs > patience;
    }

    /** Whether the step can miss this task now. */
    static boolean isWithinBudget(TaskSlot slot) {
        int budget = Math.max(1, slot.spec().mode().mayMiss());
        int away = 0;
        for (TaskSlot other : slot.step().slots()) {
            away += other != slot && !other.isAtWork() ? 1 : 0;
        }
        return away < budget;
    }

    /** Whether there is a place beside those of the standing tasks that were stopped just now. */
    private static boolean hasPlace(TaskSlot slot, List<WorkerState> others, long nowMs) {
        List<WorkerState> places = new ArrayList<>(others);
        places.removeIf(w -> !WorkerChooser.isAllowed(slot, w, nowMs));
        for (WorkerState w : others) {
            for (TaskRun r : w.runs()) {
                boolean stopped = r.phase() == RunPhase.STOPPING && w.isVacating();
                if (stopped && r.slot().spec().mode().standing()) {
                    takePlace(r.slot(), places, nowMs);
                }
            }
        }
        return !places.isEmpty();
    }

    private static void takePlace(TaskSlot slot, List<WorkerState> places, long nowMs) {
        for (int i = 0; i < places.size(); i++) {
            if (WorkerChooser.isAllowed(slot, places.get(i), nowMs)) {
                places.remove(i);
                return;
            }
        }
    }
}
