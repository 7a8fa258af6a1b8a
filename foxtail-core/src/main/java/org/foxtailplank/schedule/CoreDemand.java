package org.foxtailplank.schedule;

import org.foxtailplank.job.JobOrder;

/**
 * How many thousandths of a core jobs need to meet their objectives.
 *
 * <p>Answers a queue that asks several times its mean for some seconds. A job counts with its work
 * spread over the longest chain of its tasks: so many cores as it can use from the moment it comes.
 * Spread over all the time until its objective, jobs of the first seconds of a turn called for too
 * few VMs, which come only two seconds later. Mean worth over six played days with one seed each,
 * processor time not counted: 0.468 before, 0.521 and 0.523 after.
 */
final class CoreDemand {
    /**
     * A job that is late needs its work done within this time, in milliseconds: soon, but without
     * workers of its own, as it earns little.
     */
    private static final long LATE_MS = 3000;

    private CoreDemand() {}

    /** What a run of a job's steps needs from now on. */
    static double of(ActiveRun run, long nowWallMs) {
        long time = isLate(run, nowWallMs) ? LATE_MS : 1;
        return (double) run.remainingWork() / Math.max(time, run.remainingMs());
    }

    /** Whether a run of a job's steps can't meet its objective any more. */
    static boolean isLate(ActiveRun run, long nowWallMs) {
        return Urgency.slackMs(run, nowWallMs) < 0;
    }

    /** What a job needs that has just come. */
    static double of(JobOrder order) {
        return order.work() / Math.max(1, order.chainMs());
    }
}
