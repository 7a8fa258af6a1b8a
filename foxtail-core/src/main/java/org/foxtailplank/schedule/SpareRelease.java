package org.foxtailplank.schedule;

/**
 * Decides how many spare VMs a pool gives up at a time.
 *
 * <p>Answers bursts of different queues that follow each other: as one ends, its pool has many
 * spare VMs, and most of them are needed by the next one a few seconds later. Released all at once,
 * they would take one move to the standby pool and another one back. Released one after the other,
 * those that are left when the next burst begins move there directly.
 */
final class SpareRelease {
    /** Time for which a pool must have spare VMs before the first one is released. */
    private static final long DELAY_MS = 500;

    /** Time in which the present number of spare VMs would be released, in milliseconds. */
    private static final double PERIOD_MS = 3000;

    /** Rate at which the last spare VMs are released: one in a second. */
    private static final double MIN_VMS_PER_MS = 1.0 / 1000;

    /** Longest time between two decisions that counts, in milliseconds. */
    private static final long MAX_STEP_MS = 200;

    private long mSinceMs = -1;
    private long mLastMs;
    private double mDueVms;

    /** Notes that the pool has no spare VMs. */
    void reset() {
        mSinceMs = -1;
        mDueVms = 0;
    }

    /**
     * Returns how many of the spare VMs to release now.
     *
     * @param spareVms number of spare VMs, at least one
     */
    int vmsDue(double spareVms, long nowMs) {
        if (mSinceMs < 0) {
            mSinceMs = nowMs;
            mLastMs = nowMs;
        }
        long stepMs = Math.min(MAX_STEP_MS, nowMs - mLastMs);
        mLastMs = nowMs;
        if (nowMs - mSinceMs <= DELAY_MS) {
            return 0;
        }
        mDueVms += Math.max(spareVms / PERIOD_MS, MIN_VMS_PER_MS) * stepMs;
        int due = (int) mDueVms;
        mDueVms -= due;
        return due;
    }
}
