package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.foxtailplank.fleet.Resources;

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
            double lastDemand = 0;
            for (ActiveRun run : job.runs()) {
                boolean due = run.dueWallMs() <= nowWallMs;
                if (due && !run.isDone()) {
                    lastDemand = filter.test(run) ? CoreDemand.of(run, nowWallMs) : 0;
                    demands.merge(job.definition().organisation(), lastDemand, Double::sum);
                }
            }
            // Runs that are not open yet need as much as the youngest open one.
            double unopened = lastDemand * job.unopenedDueRuns(nowWallMs);
            demands.merge(job.definition().organisation(), unopened, Double::sum);
        }
        return caps.limit(demands, service);
    }

    /**
     * VMs that standing tasks wait for. A step's limit per worker may leave its tasks without a
     * place although there is capacity.
     *
     * @param criticalMoves number of tasks that have to move, for each step that delays a wave
     * @param vm capacity of an empty VM
     */
    int vmsForStanding(
            String service, Map<ActiveStep, Integer> criticalMoves, Resources vm, long nowMs) {
        int most = 0;
        Resources room = Resources.NONE;
        for (ActiveJob job : mScheduler.runs().jobs()) {
            boolean matches =
                    job.definition().isStanding() && job.definition().service().equals(service);
            if (!matches || job.isEnding()) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                for (ActiveStep step : run.steps()) {
                    int vms = vmsFor(step, criticalMoves.getOrDefault(step, 0), vm, nowMs);
                    most = Math.max(most, vms);
                    Resources onVm = step.spec().reserved().times(tasksPerWorker(step, vm));
                    room = room.plus(min(onVm, vm).times(vms));
                }
            }
        }
        long forCores = divideUp(room.milliProcessors(), vm.milliProcessors());
        long forMemory = divideUp(room.memoryBytes(), vm.memoryBytes());
        return (int) Math.max(most, Math.max(forCores, forMemory));
    }

    /**
     * VMs that gangs wait for. All members of a gang need a place at the same time, so the pool may
     * have too few workers for it although there is capacity.
     *
     * @param vm capacity of an empty VM
     * @param fleetVms number of all VMs; no VMs are requested for a gang that would need more
     */
    int vmsForGangs(String service, Resources vm, int fleetVms, long nowMs) {
        int most = 0;
        for (ActiveJob job : mScheduler.runs().jobs()) {
            if (job.isEnding() || !job.definition().service().equals(service)) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                for (ActiveStep step : run.steps()) {
                    int workers = workersForGang(step, vm);
                    if (workers > 0 && workers <= fleetVms) {
                        most = Math.max(most, workers - admittingWorkers(step, nowMs));
                    }
                }
            }
        }
        return most;
    }

    /** Workers that a gang without a place needs; 0 for other steps. */
    private static int workersForGang(ActiveStep step, Resources vm) {
        if (!step.spec().placement().gang()
                || !step.tasks().stream().allMatch(t -> t.isWaiting() && t.lacksRoom())) {
            return 0;
        }
        Resources task = step.spec().reserved();
        long perWorker =
                Math.min(
                        vm.milliProcessors() / Math.max(1, task.milliProcessors()),
                        vm.memoryBytes() / Math.max(1, task.memoryBytes()));
        int limit = step.spec().placement().maxPerWorker();
        perWorker = Math.max(1, limit == 0 ? perWorker : Math.min(limit, perWorker));
        return (int) ((step.tasks().size() + perWorker - 1) / perWorker);
    }

    /** Workers that could have a task of a gang once their batch tasks have ended. */
    private int admittingWorkers(ActiveStep step, long nowMs) {
        ActiveTask task = step.tasks().get(0);
        int admitting = 0;
        for (WorkerState w : mScheduler.workersOf(step.job().definition().service())) {
            boolean admits =
                    w.isUsable(nowMs)
                            && WorkerChooser.mayRun(task, w)
                            && !step.advice(w.incarnation()).isDenied()
                            && task.spec().reserved().fitsIn(w.freeWithoutBatch());
            admitting += admits ? 1 : 0;
        }
        return admitting;
    }

    private static Resources min(Resources a, Resources b) {
        return new Resources(
                Math.min(a.milliProcessors(), b.milliProcessors()),
                Math.min(a.memoryBytes(), b.memoryBytes()),
                Math.min(a.accelerators(), b.accelerators()));
    }

    private static long divideUp(long amount, long size) {
        return size <= 0 ? 0 : (amount + size - 1) / size;
    }

    /**
     * Most tasks of a step on one worker, at least one. The limit of the step counts, and the
     * memory of an empty VM if that admits fewer tasks than its cores.
     */
    private static int tasksPerWorker(ActiveStep step, Resources vm) {
        int limit = Math.max(1, step.spec().placement().maxPerWorker());
        Resources task = step.spec().reserved();
        long byMemory = vm.memoryBytes() / Math.max(1, task.memoryBytes());
        long byCores = vm.milliProcessors() / Math.max(1, task.milliProcessors());
        return byMemory < byCores ? (int) Math.max(1, Math.min(limit, byMemory)) : limit;
    }

    private int vmsFor(ActiveStep step, int toMove, Resources vm, long nowMs) {
        int waiting = 0;
        int leaving = 0;
        for (ActiveTask s : step.tasks()) {
            waiting += s.isWaiting() && s.lacksRoom() ? 1 : 0;
            leaving += isLeaving(s) ? 1 : 0;
        }
        int perWorker = tasksPerWorker(step, vm);
        return (waiting + perWorker - 1) / perWorker
                + vmsForMoves(step, Math.max(leaving, toMove), perWorker, nowMs);
    }

    private static boolean isLeaving(ActiveTask task) {
        return task.runs().stream().anyMatch(r -> r.worker().isEvacuating());
    }

    /** VMs that the tasks to move need beyond the workers that admit them. */
    private int vmsForMoves(ActiveStep step, int toMove, int perWorker, long nowMs) {
        if (toMove == 0) {
            return 0;
        }
        int maxConcurrent = Math.max(1, step.spec().mode().maxUnavailable());
        int needed =
                (Math.min(toMove, PLACES_PER_CONCURRENT_MOVE * maxConcurrent) + perWorker - 1)
                        / perWorker;
        ActiveTask task = step.tasks().get(0);
        int admitting = 0;
        for (WorkerState w : mScheduler.workersOf(step.job().definition().service())) {
            admitting += WorkerChooser.canTakeOverAfterBatch(task, w, nowMs) ? 1 : 0;
        }
        return Math.max(0, needed - admitting);
    }
}
