package org.foxtailplank.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.fleet.Resources;

/**
 * Tracks the mean demand of each service's batch tasks, by which capacity for them is counted, and
 * the VMs that are on their way to its pool.
 *
 * <p>The tasks are those that wait or run. A service without any keeps the mean of the last ones.
 */
final class BatchCapacities {
    private final Map<String, BatchCapacity> mByService = new HashMap<>();
    private final Map<String, List<Joining>> mJoining = new HashMap<>();

    /** Sum of the demands of a service's tasks. */
    private static final class Total {
        Resources mDemand = Resources.NONE;
        boolean mNeedsAccelerators = true;

        void add(ActiveStep step) {
            Resources demand = step.spec().demand();
            mDemand = mDemand.plus(demand.times(step.remainingTasks()));
            mNeedsAccelerators &= demand.accelerators() > 0;
        }
    }

    /** Computes the means from the tasks of the jobs that are due. */
    void update(Collection<ActiveJob> jobs, long nowWallMs) {
        Map<String, Total> totals = new HashMap<>();
        for (ActiveJob job : jobs) {
            if (job.definition().isStanding() || job.isEnding()) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                if (run.dueWallMs() <= nowWallMs) {
                    add(run, totals);
                }
            }
        }
        totals.forEach(
                (service, t) ->
                        mByService.put(
                                service, new BatchCapacity(t.mDemand, t.mNeedsAccelerators)));
    }

    private static void add(ActiveRun run, Map<String, Total> totals) {
        for (ActiveStep step : run.steps()) {
            if (step.remainingTasks() > 0) {
                totals.computeIfAbsent(run.job().definition().service(), s -> new Total())
                        .add(step);
            }
        }
    }

    /** How the capacity for a service's batch tasks is counted. */
    BatchCapacity of(String service) {
        return mByService.getOrDefault(service, BatchCapacity.CORES);
    }

    /** Capacity of the usable ones of a service's workers and of the VMs on their way. */
    PoolCapacity usable(String service, Collection<WorkerState> workers, long nowMs) {
        BatchCapacity capacity = of(service);
        long sum = 0;
        for (WorkerState w : workers) {
            sum += w.isUsable(nowMs) ? capacity.milliCores(w.freeWithoutBatch()) : 0;
        }
        return new PoolCapacity(sum, mJoining.getOrDefault(service, List.of()));
    }

    /** Sets the capacity of the VMs on their way to a service's pool. */
    void setJoining(String service, List<Joining> joining) {
        mJoining.put(service, joining);
    }
}
