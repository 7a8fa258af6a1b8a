package org.foxtailplank.schedule;

import org.foxtailplank.job.JobDefinition;

/** A job of a {@link FleetSimulation}, with the true run times of its tasks. */
final class SimulatedJob {
    /** Jobs that end within this many times their objective are late and still of some use. */
    private static final int LATE_FACTOR = 3;

    /** Share of the benefit that a late job of some use earns. */
    private static final double LATE_SHARE = 1.0 / 15;

    final JobDefinition mDefinition;
    final RunTimes mRunTimes;
    final long mSubmittedMs;
    private long mDoneMs = Long.MAX_VALUE;

    SimulatedJob(JobDefinition definition, RunTimes runTimes) {
        mDefinition = definition;
        mRunTimes = runTimes;
        mSubmittedMs = definition.acceptedMs();
    }

    /** Time from its arrival that its objective allows, by the true length of its chain. */
    double objectiveMs() {
        double chainMs = mRunTimes.chainMs(mDefinition);
        return mDefinition.policy().stretch() * chainMs + mDefinition.policy().sloMs();
    }

    void markDone(long nowWallMs) {
        mDoneMs = Math.min(mDoneMs, nowWallMs);
    }

    private double elapsedMs() {
        return (double) mDoneMs - mSubmittedMs;
    }

    double work() {
        return mRunTimes.work(mDefinition);
    }

    /** Whether it met its objective, by the estimated length of its chain. */
    boolean isOnTime() {
        return mDoneMs <= mSubmittedMs + mDefinition.objectiveLengthMs();
    }

    /** Whether it met its objective, by the true length of its chain. */
    boolean isInTime() {
        return isDone() && elapsedMs() <= objectiveMs();
    }

    /** Whether it completed while it had a benefit. */
    boolean hasBenefit() {
        return isDone() && elapsedMs() <= LATE_FACTOR * objectiveMs();
    }

    boolean isDone() {
        return mDoneMs < Long.MAX_VALUE;
    }

    /** Benefit that it earned, if one in time earns its work. */
    double earned() {
        return isInTime() ? work() : hasBenefit() ? work() * LATE_SHARE : 0;
    }
}
