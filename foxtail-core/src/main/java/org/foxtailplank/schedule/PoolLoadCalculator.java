package org.foxtailplank.schedule;

import java.util.List;

/** Computes the load of a service. */
final class PoolLoadCalculator {
    private static final long MILLI = 1000;

    private PoolLoadCalculator() {}

    static PoolLoad of(
            String service,
            List<WorkerState> workers,
            BatchCapacity capacity,
            List<ActiveRun> due,
            long nowMs) {
        int usable = 0;
        long cores = 0;
        long standing = 0;
        long batch = 0;
        long planned = 0;
        int evacuating = 0;
        long batchCapacity = 0;
        for (WorkerState w : workers) {
            usable += w.isUsable(nowMs) ? 1 : 0;
            cores += w.registration().capacity().milliProcessors();
            long standingOfWorker = w.standing().milliProcessors();
            standing += standingOfWorker;
            batch += w.used().milliProcessors() - standingOfWorker;
            planned += plannedMilliCores(w);
            evacuating += w.isEvacuating() ? 1 : 0;
            batchCapacity += capacity.milliCores(w.freeWithoutBatch());
        }
        int waiting = 0;
        int waitingStanding = 0;
        for (ActiveRun run : due) {
            for (ActiveStep step : run.steps()) {
                if (step.remainingTasks() > 0 && run.areDependenciesDone(step)) {
                    int tasks = (int) step.tasks().stream().filter(ActiveTask::isWaiting).count();
                    waiting += tasks;
                    waitingStanding += step.spec().mode().standing() ? tasks : 0;
                }
            }
        }
        return new PoolLoad(
                service,
                usable,
                cores / MILLI,
                standing / MILLI,
                batch / MILLI,
                planned / MILLI,
                batchCapacity / MILLI,
                due.size(),
                waiting,
                waitingStanding,
                workers.size(),
                evacuating,
                UsedVms.of(workers));
    }

    /** Capacity reserved by starts whose records are not stored yet. */
    private static long plannedMilliCores(WorkerState worker) {
        long sum = 0;
        for (TaskRun r : worker.runs()) {
            if (r.phase() == RunPhase.PLANNED) {
                sum += r.task().spec().reserved().milliProcessors();
            }
        }
        return sum;
    }
}
