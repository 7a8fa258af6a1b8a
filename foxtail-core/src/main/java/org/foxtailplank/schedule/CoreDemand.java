package org.foxtailplank.schedule;

import org.foxtailplank.job.JobOrder;

/**
 * How many thousandths of a core jobs need to meet their objectives.
 *
 * <p>Answers a queue that asks several times its mean for some seconds. A job needs its work spread
 * over the time until its objective, and no more: workers beyond that would end jobs sooner than
 * anybody asks, and stand half idle, since the tasks of a step rarely all run at a time.
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
        long left = Urgency.objectiveMs(run) - nowWallMs;
        long chain = run.remainingMs();
        long time = left < chain ? LATE_MS : left;
        return (double) run.remainingWork() / Math.max(1, Math.max(chain, time));
    }

    /** What a job needs that has just come. */
    static double of(JobOrder order) {
        return order.work() / Math.max(1, Urgency.objectiveLengthMs(order));
    }
}
