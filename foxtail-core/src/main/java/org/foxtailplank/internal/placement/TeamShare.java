package org.foxtailplank.internal.placement;

/** What a team takes of the fleet, against its quota. */
final class TeamShare {

    private static final double RATIO_STEP = 0.1;
    private static final double OVER = 1.1;

    private double mQuota;
    private long mUsedMilli;
    private long mUrgentMilli;
    private double mRatio = 1;

    TeamShare(double quota) {
        mQuota = quota;
    }

    void quota(double quota) {
        mQuota = quota;
    }

    double quota() {
        return mQuota;
    }

    void used(long milliProcessors, boolean urgent) {
        mUsedMilli += milliProcessors;
        mUrgentMilli += urgent ? milliProcessors : 0;
    }

    /** Use for each unit of quota; the team with the least goes first. */
    double pressure() {
        return mQuota <= 0 ? Double.MAX_VALUE : mUsedMilli / mQuota;
    }

    /**
     * Whether the team's urgent work is within its quota.
     *
     * <p>Its batch work does not count: it took what nobody else wanted, and would else stand in
     * the way of the team's own urgent work.
     */
    boolean isUrgentWithin(long totalMilli, long moreMilli) {
        return mUrgentMilli + moreMilli <= mQuota * totalMilli;
    }

    boolean isWithin(long totalMilli, long moreMilli) {
        return mUsedMilli + moreMilli <= mQuota * totalMilli;
    }

    /** Whether it is over its quota by more than a task or two. */
    boolean isOver(long totalMilli) {
        return mUsedMilli > OVER * mQuota * totalMilli;
    }

    /** Measured use for each declared unit over the team's jobs. */
    double ratio() {
        return mRatio;
    }

    void learn(double ratio) {
        mRatio += RATIO_STEP * (ratio - mRatio);
    }
}
