package org.foxtailplank.schedule;

import org.foxtailplank.job.JobDefinition;

/**
 * Computes the capacity that jobs need to meet their objectives, in thousandths of a core.
 *
 * <p>The work of a job with waiting tasks is spread over its critical path, which gives the
 * capacity that it can use now; a longer period would request VMs too late for a burst, as they
 * take about two seconds to join. The work of a job without waiting tasks is spread over the time
 * until its objective, so that a steady queue holds no idle VMs.
 */
final class CoreDemand {
    /**
     * Minimum period over which the work of a late job is spread, in milliseconds: it should end
     * soon, but has too little value left to get workers of its own.
     */
    private static final long LATE_MS = 3000;

    private CoreDemand() {}

    /** Capacity that the remaining work of a run needs. */
    static double of(ActiveRun run, long nowWallMs) {
        long criticalPathMs = Math.max(1, run.remainingCriticalPathMs());
        if (isLate(run, nowWallMs)) {
            return (double) run.remainingWork() / Math.max(LATE_MS, criticalPathMs);
        }
        long periodMs =
                run.hasWaitingTask() ? criticalPathMs : UrgencyOrder.objectiveMs(run) - nowWallMs;
        return (double) run.remainingWork() / Math.max(criticalPathMs, periodMs);
    }

    /** Whether a run can no longer meet its objective. */
    static boolean isLate(ActiveRun run, long nowWallMs) {
        return UrgencyOrder.slackMs(run, nowWallMs) < 0;
    }

    /** Capacity that a new job needs if none of its tasks has to wait. */
    static double of(JobDefinition definition) {
        return definition.estimatedWork() / Math.max(1, definition.objectiveLengthMs());
    }
}
