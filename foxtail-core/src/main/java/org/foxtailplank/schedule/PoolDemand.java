package org.foxtailplank.schedule;

import java.util.Map;
import java.util.function.Predicate;

/** What the jobs of a service ask of its pool. */
final class PoolDemand {
    /**
     * Places for each task that a step may miss: a VM is back from its reboot when two more tasks
     * have moved, and is the place of the next one.
     */
    private static final int PLACES_FOR_EACH = 3;

    private final Scheduler mScheduler;

    PoolDemand(Scheduler scheduler) {
        mScheduler = scheduler;
    }

    /** Thousandths of a core for jobs that can still meet their objectives. */
    double inTime(String service, long nowWallMs) {
        return sum(service, r -> !CoreDemand.isLate(r, nowWallMs), nowWallMs);
    }

    /** Thousandths of a core for jobs that can't. */
    double late(String service, long nowWallMs) {
        return sum(service, r -> CoreDemand.isLate(r, nowWallMs), nowWallMs);
    }

    private double sum(String service, Predicate<ActiveRun> counts, long nowWallMs) {
        double sum = 0;
        for (ActiveJob job : mScheduler.runs().jobs()) {
            boolean asks = !job.order().isStanding() && job.order().service().equals(service);
            if (!asks || job.isEnding()) {
                continue;
            }
            for (ActiveRun run : job.runs()) {
                boolean due = run.dueWallMs() <= nowWallMs;
                if (due && !run.isDone() && counts.test(run)) {
                    sum += CoreDemand.of(run, nowWallMs);
                }
            }
        }
        return sum;
    }

    /**
     * VMs that standing tasks wait for: their steps allow only so many on one worker, so that they
     * may find no place although there is room.
     *
     * @param toMove how many tasks have to move of steps that hold up a wave
     * @param vmSize thousandths of a core of a VM
     */
    int vmsForStanding(String service, Map<ActiveStep, Integer> toMove, long vmSize, long nowMs) {
        int most = 0;
        long room = 0;
        for (ActiveJob job : mScheduler.runs().jobs()) {
            boolean counts = job.order().isStanding() && job.order().service().equals(service);
            if (!counts || job.isEnding()) {
                continue;
            }
            for (ActiveStep step : job.runs().get(0).steps()) {
                int vms = vmsFor(step, toMove.getOrDefault(step, 0), nowMs);
                most = Math.max(most, vms);
                room +=
                        Math.min(vmSize, onEach(step) * step.spec().reserved().milliProcessors())
                                * vms;
            }
        }
        return (int) Math.max(most, (room + vmSize - 1) / vmSize);
    }

    /** Tasks of a step that a worker may run, at least one. */
    private static int onEach(ActiveStep step) {
        return Math.max(1, step.spec().placement().maxPerWorker());
    }

    private int vmsFor(ActiveStep step, int toMove, long nowMs) {
        int waiting = 0;
        int leaving = 0;
        for (TaskSlot s : step.slots()) {
            waiting += s.isWaiting() && s.lacksRoom() ? 1 : 0;
            leaving += leaves(s) ? 1 : 0;
        }
        int each = onEach(step);
        return (waiting + each - 1) / each + places(step, Math.max(leaving, toMove), nowMs);
    }

    private static boolean leaves(TaskSlot slot) {
        return slot.runs().stream().anyMatch(r -> r.worker().isVacating());
    }

    /** VMs that tasks need which have to move, beyond the workers that admit them. */
    private int places(ActiveStep step, int toMove, long nowMs) {
        if (toMove == 0) {
            return 0;
        }
        int atOnce = Math.max(1, step.spec().mode().mayMiss());
        int needed = (Math.min(toMove, PLACES_FOR_EACH * atOnce) + onEach(step) - 1) / onEach(step);
        TaskSlot slot = step.slots().get(0);
        int admitting = 0;
        for (WorkerState w : mScheduler.workersOf(step.job().order().service())) {
            admitting += WorkerChooser.couldRun(slot, w, nowMs) ? 1 : 0;
        }
        return Math.max(0, needed - admitting);
    }
}
