package org.foxtailplank.schedule;

import java.util.function.Predicate;

/** What the jobs of a service ask of its pool. */
final class PoolDemand {
    /**
     * VMs that are asked for each task that a step may miss: a VM is back from its reboot when two
     * more tasks have moved, and is the place of the next one.
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
     */
    int vmsForStanding(String service, long nowMs) {
        int most = 0;
        for (ActiveJob job : mScheduler.runs().jobs()) {
            boolean counts = job.order().isStanding() && job.order().service().equals(service);
            if (!counts || job.isEnding()) {
                continue;
            }
            for (ActiveStep step : job.runs().get(0).steps()) {
                most = Math.max(most, vmsFor(step, nowMs));
            }
        }
        return most;
    }

    private int vmsFor(ActiveStep step, long nowMs) {
        int waiting = 0;
        int stuck = 0;
        for (TaskSlot s : step.slots()) {
            waiting += s.isWaiting() && s.lacksRoom() ? 1 : 0;
            stuck += isStuck(s, nowMs) ? 1 : 0;
        }
        int atOnce = Math.max(1, step.spec().mode().mayMiss());
        int each = Math.max(1, step.spec().placement().maxPerWorker());
        return (waiting + Math.min(stuck, PLACES_FOR_EACH * atOnce) + each - 1) / each;
    }

    /** Whether the task holds up the emptying of its worker, since no other worker admits it. */
    private boolean isStuck(TaskSlot slot, long nowMs) {
        boolean leaves = slot.runs().stream().anyMatch(r -> r.worker().isVacating());
        return leaves
                && mScheduler.workersOf(slot.step().job().order().service()).stream()
                        .noneMatch(w -> WorkerChooser.couldRun(slot, w, nowMs));
    }
}
