package org.foxtailplank.schedule;

import java.util.List;

/**
 * Empties a worker before its VM is rebooted.
 *
 * <p>A reboot ends at once all that runs there. Tasks that will end by themselves are waited for;
 * what can go on from a checkpoint is stopped sooner; standing tasks are stopped one of a step at a
 * time, and only while no more of the step are away than it may miss: more at a time would break
 * the service's availability budget.
 */
final class Vacating {
    /** How long to wait for tasks that lose their work when stopped, in milliseconds. */
    private static final long PATIENCE_MS = 6000;

    private Vacating() {}

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

    private static boolean hasPlace(TaskSlot slot, List<WorkerState> others, long nowMs) {
        for (WorkerState w : others) {
            if (WorkerChooser.isAllowed(slot, w, nowMs)) {
                return true;
            }
        }
        return false;
    }
}
