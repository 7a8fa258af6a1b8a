package org.foxtailplank.internal.routing;

import org.foxtailplank.request.BackendServer;

/** One instance with what this entry knows of its load and health. */
public final class Target {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double EJECTED_ABOVE = 0.5;

    /** In relation to its slots, what an instance may have so that no slot ever waits for us. */
    private static final double BUSY_FACTOR = 1.25;

    private static final double MAX_GROWTH = 2;
    private static final double MAX_SHRINKING = 0.5;
    private static final long FIRST_EJECTION = 500_000_000L;
    private static final long LONGEST_EJECTION = 8_000_000_000L;

    private final BackendServer mServer;
    private final boolean mNear;
    private final Candidates mCandidates;
    private int mLimit;
    private int mInFlight;
    private double mWindow;
    private final MeanLatency mLatency = new MeanLatency();
    private final MeanLatency mOfService;
    private double mFailures;
    private Health mHealth = Health.SERVING;
    private boolean mListed = true;
    private boolean mOnTrial;
    private boolean mHeld;
    private long mEjectedUntil;
    private long mEjection = FIRST_EJECTION;
    private int mPlace = Candidates.NOWHERE;

    Target(
            BackendServer server,
            boolean near,
            int limit,
            Candidates candidates,
            MeanLatency ofService) {
        mServer = server;
        mNear = near;
        mLimit = limit;
        mWindow = limit;
        mCandidates = candidates;
        mOfService = ofService;
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
            mLatency.add(nanos);
            mOfService.add(nanos);
        }
        judge(end.healthy(), now);
        mCandidates.place(this);
    }

    /** An attempt ended that says nothing about the instance. */
    public void release() {
        mInFlight--;
        mCandidates.place(this);
    }

    /**
     * Keeps the next connection that becomes free for a probe.
     *
     * <p>Under steady load each free connection is taken at once; without this the entry would
     * never ask, and send requests to an instance that left long ago.
     */
    public void hold(boolean held) {
        mHeld = held;
        mCandidates.place(this);
    }

    /** What it says of itself. */
    public void saw(Health health) {
        mHealth = health;
        mCandidates.place(this);
    }

    /**
     * What it says of the requests of all entries together.
     *
     * <p>Where more wait at it than keep its slots busy, each entry sends it less, so that requests
     * wait at the entries instead: there urgent ones go first, and a refused one has run nowhere.
     *
     * @param inFlight requests that run or wait there
     * @param slots requests that it runs at once
     */
    public void heard(int inFlight, int slots) {
        double factor = slots * BUSY_FACTOR / Math.max(1, inFlight);
        boolean spare = inFlight < slots;
        double change = spare ? Math.min(MAX_GROWTH, factor) : Math.min(1, factor);
        mWindow = Math.min(mLimit, Math.max(1, mWindow * Math.max(MAX_SHRINKING, change)));
        mCandidates.place(this);
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
        return healthy() && !mHeld && mInFlight < (mOnTrial ? 1 : Math.min(mLimit, (int) mWindow));
    }

    /** Expected time of one more attempt; failures make an instance dear, not cheap. */
    double cost() {
        double good = 1 - mFailures;
        // One that was never asked would look free, and draw requests out of the entry's zone.
        MeanLatency latency = mLatency.known() ? mLatency : mOfService;
        return (mInFlight + 1) * (latency.nanos() + 1) / (good * good + 1e-3);
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
                        mLatency.nanos() / NANOS_PER_MILLI,
                        ejected() ? "ejected" : mHealth);
    }
}
