package org.foxtailplank.admission;

/** Tells for how long a condition was met without interruption, from samples of it. */
final class HealthyPeriod {
    /**
     * Longest time between two samples, in milliseconds; after a longer one the condition counts as
     * interrupted. Followers take an owner for lost after this time without a heartbeat.
     */
    static final long MAX_GAP_MS = 700;

    private boolean mHealthy;
    private long mSinceMs;
    private long mSampledMs;

    /** Records a sample; times don't decrease. */
    void sample(boolean healthy, long nowMs) {
        if (!mHealthy || nowMs - mSampledMs > MAX_GAP_MS) {
            mSinceMs = nowMs;
        }
        mHealthy = healthy;
        mSampledMs = nowMs;
    }

    /** Whether every sample of a period until now, in milliseconds, met the condition. */
    boolean lasts(long periodMs, long nowMs) {
        return mHealthy && nowMs - mSampledMs <= MAX_GAP_MS && nowMs - mSinceMs >= periodMs;
    }
}
