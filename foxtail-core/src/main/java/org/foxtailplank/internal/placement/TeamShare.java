package org.foxtailplank.internal.placement;

/** A team's use of the fleet relative to its quota. */
final class TeamShare {

    private static final double RATIO_SMOOTHING = 0.1;
    private static final double OVER_QUOTA_FACTOR = 1.1;

    private double mQuota;
    private long mUsedMilliProcessors;
    private long mUrgentMilliProcessors;
    private double mRatio = 1;

    TeamShare(double quota) {
        mQuota = quota;
    }

    void setQuota(double quota) {
        mQuota = quota;
    }

    double quota() {
        return mQuota;
    }

    void adjustUsage(long milliProcessors, boolean urgent) {
        mUsedMilliProcessors += milliProcessors;
        mUrgentMilliProcessors += urgent ? milliProcessors : 0;
    }

    /** Returns the use per unit of quota; the team with the lowest value is served first. */
    double usagePerQuota() {
        return mQuota <= 0 ? Double.MAX_VALUE : mUsedMilliProcessors / mQuota;
    }

    /**
     * Returns whether the team's urgent work is within its quota.
     *
     * <p>Other work of the team does not count, so that its batch work does not block its urgent
     * work.
     */
    boolean isUrgentWithinQuota(long totalMilliProcessors, long requestedMilliProcessors) {
        return mUrgentMilliProcessors + requestedMilliProcessors <= mQuota * totalMilliProcessors;
    }

    boolean isWithinQuota(long totalMilliProcessors, long requestedMilliProcessors) {
        return mUsedMilliProcessors + requestedMilliProcessors <= mQuota * totalMilliProcessors;
    }

    /** Returns whether the team exceeds its quota by more than a tolerance. */
    boolean isOverQuota(long totalMilliProcessors) {
        return mUsedMilliProcessors > OVER_QUOTA_FACTOR * mQuota * totalMilliProcessors;
    }

    /** Returns the smoothed ratio of measured to declared use over the team's jobs. */
    double ratio() {
        return mRatio;
    }

    void updateRatio(double ratio) {
        mRatio += RATIO_SMOOTHING * (ratio - mRatio);
    }
}
