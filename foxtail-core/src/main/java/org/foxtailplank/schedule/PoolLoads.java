package org.foxtailplank.schedule;

import java.util.List;

/** Adds up how busy a service is. */
final class PoolLoads {
    private static final long MILLI = 1000;

    private PoolLoads() {}

    static PoolLoad of(String service, List<WorkerState> workers, List<ActiveRun> due, long nowMs) {
        int usable = 0;
        long cores = 0;
        long standing = 0;
        long batch = 0;
        for (WorkerState w : workers) {
            usable += w.isUsable(nowMs) ? 1 : 0;
            cores += w.info().capacity().milliProcessors();
            standing += w.standingUsed();
            batch += w.used().milliProcessors() - w.standingUsed();
        }
        int waiting = 0;
        int waitingStanding = 0;
        for (ActiveRun run : due) {
            for (ActiveStep step : run.steps()) {
                if (step.left() > 0 && run.isTurnOf(step)) {
                    int tasks = (int) step.slots().stream().filter(TaskSlot::isWaiting).count();
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
                waitingStanding);
    }
}
