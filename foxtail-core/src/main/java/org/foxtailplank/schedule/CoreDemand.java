package org.foxtailplank.schedule;

import org.foxtailplank.job.JobOrder;

/**
 * How many thousandths of a core jobs need to meet their objectives.
 *
 * <p>Answers a queue that asks several times its mean for some seconds. A job whose tasks wait for
 * room counts with its work spread over the longest chain of its tasks: so many cores as it can use
 * now. Spread over all the time until its objective, jobs of the first seconds of a turn called for
 * too few VMs, which come only two seconds later. A job of which nothing waits needs its work done
 * by its objective and no more: counted over its chain too, it kept VMs that stood half idle.
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
        long chain = Math.max(1, run.remainingMs());
        if (isLate(run, nowWallMs)) {
            return (double) run.remainingWork() / Math.max(LATE_MS, chain);
        }
        long time = run.waits() ? chain : Urgency.objectiveMs(run) - nowWallMs;
        return (double) run.remainingWork() / Math.max(chain, time);
    }

    /** Whether a run of a job's steps can't meet its objective any more. */
    static boolean isLate(ActiveRun run, long nowWallMs) {
        return Urgency.slackMs(run, nowWallMs) < 0;
    }

    /** What a job needs that has just come, if it finds room. */
    static double of(JobOrder order) {
        return order.work() / Math.max(1, Urgency.objectiveLengthMs(order));
    }
}
