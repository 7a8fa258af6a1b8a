package org.foxtailplank.schedule;

import java.util.List;

/** Computes the load of a service. */
final class PoolLoadCalculator {
    private static final long MILLI = 1000;

    private PoolLoadCalculator() {}

    static PoolLoad of(String service, List<WorkerState> workers, List<ActiveRun> due, long nowMs) {
        int usable = 0;
        long cores = 0;
        long standing = 0;
        long batch = 0;
        for (WorkerState w : workers) {
            usable += w.isUsable(nowMs) ? 1 : 0;
            cores += w.info().capacity().milliProcessors();
            standing += w.standingMilliCores();
            batch += w.used().milliProcessors() - w.standingMilliCores();
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
                due.size(),
                waiting,
                waitingStanding,
                workers.size(),
                UsedVms.of(workers));
    }
}
