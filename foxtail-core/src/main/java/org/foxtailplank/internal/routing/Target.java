package org.foxtailplank.internal.routing;

import org.foxtailplank.request.BackendServer;

/** One instance with what this entry knows of its load and health. */
public final class Target {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double LATENCY_WEIGHT = 0.1;
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double EJECTED_ABOVE = 0.5;
    private static final long FIRST_EJECTION = 500_000_000L;
    private static final long LONGEST_EJECTION = 8_000_000_000L;

    private final BackendServer mServer;
    private final boolean mNear;
    private final Candidates mCandidates;
    private int mLimit;
    private int mInFlight;
    private int mOthers;
    private double mLatency;
    private double mFailures;
    private Health mHealth = Health.SERVING;
    private boolean mListed = true;
    private boolean mOnTrial;
    private long mEjectedUntil;
    private long mEjection = FIRST_EJECTION;
    private int mPlace = Candidates.NOWHERE;

    Target(BackendServer server, boolean near, int limit, Candidates candidates) {
        mServer = server;
        mNear = near;
        mLimit = limit;
        mCandidates = candidates;
    }

    /** The instance. */
    public BackendServer server() {
        return mServer;
    }

    /** Whether it stands in the entry's own zone. */
    public boolean near() {
        return mNear;
    }

    /** Attempts of this entry that it has now. */
    public int inFlight() {
        return mInFlight;
    }

    /** Attempts, and so connections, that this entry may have at it. */
    public int limit() {
        return mLimit;
    }

    /** Usual time of an attempt, in nanoseconds. */
    public double latency() {
        return mLatency;
    }

    /** Whether nothing new may be sent to it, whatever happens to the others. */
    boolean leaving() {
        return !mListed || mHealth == Health.LEAVING;
    }

    /** Whether it takes requests as far as this entry knows, though perhaps it is full now. */
    boolean healthy() {
        return mListed && mHealth == Health.SERVING && !ejected();
    }

    /** Whether it may be asked although it does not look healthy. */
    boolean mayBeAsked() {
        return !leaving() && mInFlight < mLimit;
    }

    /** Whether it gets nothing until its next trial because it failed too often. */
    public boolean ejected() {
        return mEjectedUntil != 0;
    }

    /** An attempt starts. */
    public void begin() {
        mInFlight++;
        mCandidates.place(this);
    }

    /** An attempt ended. */
    public void end(AttemptEnd end, long nanos, long now) {
        mInFlight--;
        if (end.gone()) {
            mHealth = Health.SILENT;
        }
        // An instance that fails fast would look quick; only good answers count as its speed.
        if (end == AttemptEnd.GOOD || end == AttemptEnd.BROKEN) {
            mLatency += (nanos - mLatency) * (mLatency == 0 ? 1 : LATENCY_WEIGHT);
        }
        judge(end.healthy(), now);
        mCandidates.place(this);
    }

    /** An attempt ended that says nothing about the instance. */
    public void release() {
        mInFlight--;
        mCandidates.place(this);
    }

    /** What it says of itself. */
    public void saw(Health health) {
        mHealth = health;
        mCandidates.place(this);
    }

    /** How many requests of other entries it had when it was last heard of. */
    public void heardOfOthers(int inFlight) {
        mOthers = inFlight;
    }

    /** Ends the time without requests when it is over; the next request is a trial. */
    void wake(long now) {
        if (mEjectedUntil != 0 && now - mEjectedUntil >= 0) {
            mEjectedUntil = 0;
            mOnTrial = true;
            mCandidates.place(this);
        }
    }

    void list(boolean listed, int limit) {
        mListed = listed;
        mLimit = limit;
        mCandidates.place(this);
    }

    boolean open() {
        return healthy() && mInFlight < (mOnTrial ? 1 : mLimit);
    }

    /** Expected time of one more attempt; failures make an instance dear, not cheap. */
    double cost() {
        double good = 1 - mFailures;
        return (mInFlight + mOthers + 1) * (mLatency + 1) / (good * good + 1e-3);
    }

    int place() {
        return mPlace;
    }

    void place(int place) {
        mPlace = place;
    }

    private void judge(boolean healthy, long now) {
        mFailures += ((healthy ? 0 : 1) - mFailures) * FAILURE_WEIGHT;
        if (healthy && mOnTrial) {
            mOnTrial = false;
            mFailures = 0;
            mEjection = FIRST_EJECTION;
            return;
        }
        if (!healthy && (mOnTrial || mFailures > EJECTED_ABOVE) && mEjectedUntil == 0) {
            mEjectedUntil = Math.max(1, now + mEjection);
            mEjection = Math.min(LONGEST_EJECTION, mEjection * 2);
        }
    }

    @Override
    public String toString() {
        return "%s(in flight %d/%d, %.1f ms, %s)"
                .formatted(
                        mServer.vm(),
                        mInFlight,
                        mLimit,
                        mLatency * 1000 / NANOS_PER_SECOND,
                        ejected() ? "ejected" : mHealth);
    }
}
