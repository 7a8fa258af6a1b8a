package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Computes what the jobs of a service require of its pool. */
final class PoolDemand {
    /**
     * Places for each concurrent move. A VM is back from its reboot after two further moves, and
     * can take the next task.
     */
    private static final int PLACES_PER_CONCURRENT_MOVE = 3;

    private final Scheduler mScheduler;

    PoolDemand(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Capacity for jobs that can still meet their objectives, in thousandths of a core. */
    double onTimeMilliCores(String service, OrganisationCaps caps, long nowWallMs) {
        return sum(service, r -> isOnTime(r, nowWallMs), caps, nowWallMs);
    }

    /** Capacity for late jobs and those beyond entitlements, in thousandths of a core. */
    double lateMilliCores(String service, OrganisationCaps caps, long nowWallMs) {
        return sum(service, r -> !isOnTime(r, nowWallMs), caps, nowWallMs);
    }

    private static boolean isOnTime(ActiveRun run, long nowWallMs) {
        return run.job().isEntitled() && !CoreDemand.isLate(run, nowWallMs);
    }

    /** Sums up the demand of the organisations, each of which its cap limits. */
    private double sum(
            String service, Predicate<ActiveRun> filter, OrganisationCaps caps, long nowWallMs) {
        Map<String, Double> demands = new HashMap<>();
        for (ActiveJob job : mScheduler.runs().jobs()) {
            boolean matches =
                    !job.definition().isStanding() && job.definition().service().equals(service);
            if (!matches || job.isEnding()) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                boolean due = run.dueWallMs() <= nowWallMs;
                if (due && !run.isDone() && filter.test(run)) {
                    double demand = CoreDemand.of(run, nowWallMs);
                    demands.merge(job.definition().organisation(), demand, Double::sum);
                }
            }
        }
        double sum = 0;
        for (Map.Entry<String, Double> e : demands.entrySet()) {
            Optional<Long> limit = caps.milliCoresFor(e.getKey(), service);
            sum += limit.isPresent() ? Math.min(e.getValue(), limit.get()) : e.getValue();
        }
        return sum;
    }

    /**
     * VMs that standing tasks wait for. A step's limit per worker may leave its tasks without a
     * place although there is capacity.
     *
     * @param criticalMoves number of tasks that have to move, for each step that delays a wave
     * @param vmSize thousandths of a core of a VM
     */
    int vmsForStanding(
            String service, Map<ActiveStep, Integer> criticalMoves, long vmSize, long nowMs) {
        int most = 0;
        long room = 0;
        for (ActiveJob job : mScheduler.runs().jobs()) {
            boolean matches =
                    job.definition().isStanding() && job.definition().service().equals(service);
            if (!matches || job.isEnding()) {
                continue;
            }
            for (ActiveStep step : job.runs().get(0).steps()) {
                int vms = vmsFor(step, criticalMoves.getOrDefault(step, 0), nowMs);
                most = Math.max(most, vms);
                room +=
                        Math.min(
                                        vmSize,
                                        tasksPerWorker(step)
                                                * step.spec().reserved().milliProcessors())
                                * vms;
            }
        }
        return (int) Math.max(most, (room + vmSize - 1) / vmSize);
    }

    /** Most tasks of a step on one worker, at least one. */
    private static int tasksPerWorker(ActiveStep step) {
        return Math.max(1, step.spec().placement().maxPerWorker());
    }

    private int vmsFor(ActiveStep step, int toMove, long nowMs) {
        int waiting = 0;
        int leaving = 0;
        for (ActiveTask s : step.tasks()) {
            waiting += s.isWaiting() && s.lacksRoom() ? 1 : 0;
            leaving += isLeaving(s) ? 1 : 0;
        }
        int perWorker = tasksPerWorker(step);
        return (waiting + perWorker - 1) / perWorker
                + vmsForMoves(step, Math.max(leaving, toMove), nowMs);
    }

    private static boolean isLeaving(ActiveTask task) {
        return task.runs().stream().anyMatch(r -> r.worker().isEvacuating());
    }

    /** VMs that the tasks to move need beyond the workers that admit them. */
    private int vmsForMoves(ActiveStep step, int toMove, long nowMs) {
        if (toMove == 0) {
            return 0;
        }
        int maxConcurrent = Math.max(1, step.spec().mode().maxUnavailable());
        int needed =
                (Math.min(toMove, PLACES_PER_CONCURRENT_MOVE * maxConcurrent)
                                + tasksPerWorker(step)
                                - 1)
                        / tasksPerWorker(step);
        ActiveTask task = step.tasks().get(0);
        int admitting = 0;
        for (WorkerState w : mScheduler.workersOf(step.job().definition().service())) {
            admitting += WorkerChooser.canRunAfterBatch(task, w, nowMs) ? 1 : 0;
        }
        return Math.max(0, needed - admitting);
    }
}
