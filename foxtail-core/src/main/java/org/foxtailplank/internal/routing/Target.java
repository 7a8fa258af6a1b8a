package org.foxtailplank.internal.routing;

import org.foxtailplank.request.BackendServer;

/** Load and health of one instance as observed by this entry. */
public final class Target {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double EJECTION_THRESHOLD = 0.5;

    /** Ratio of requests to slots that keeps all slots of an instance busy. */
    private static final double BUSY_FACTOR = 1.25;

    private static final double MAX_WINDOW_FACTOR = 2;
    private static final double MIN_WINDOW_FACTOR = 0.5;
    private static final long INITIAL_EJECTION_NANOS = 500_000_000L;
    private static final long MAX_EJECTION_NANOS = 8_000_000_000L;

    private final BackendServer mServer;
    private final boolean mSameZone;
    private final Candidates mCandidates;
    private int mLimit;
    private int mInFlight;
    private double mWindow;
    private final MeanLatency mLatency = new MeanLatency();
    private final MeanLatency mServiceLatency;
    private double mFailureRate;
    private Health mHealth = Health.SERVING;
    private boolean mListed = true;
    private boolean mOnTrial;
    private boolean mReservedForProbe;
    private long mEjectedUntil;
    private long mEjectionNanos = INITIAL_EJECTION_NANOS;
    private int mIndex = Candidates.NO_INDEX;

    Target(
            BackendServer server,
            boolean sameZone,
            int limit,
            Candidates candidates,
            MeanLatency serviceLatency) {
        mServer = server;
        mSameZone = sameZone;
        mLimit = limit;
        mWindow = limit;
        mCandidates = candidates;
        mServiceLatency = serviceLatency;
    }

    /** Returns the instance. */
    public BackendServer server() {
        return mServer;
    }

    /** Returns whether the instance is in the entry's zone. */
    public boolean isSameZone() {
        return mSameZone;
    }

    /** Returns the number of attempts in flight from this entry. */
    public int inFlight() {
        return mInFlight;
    }

    /** Returns the maximum number of attempts in flight, and therefore of connections. */
    public int limit() {
        return mLimit;
    }

    /** Returns whether the instance must not receive new requests under any circumstances. */
    boolean isLeaving() {
        return !mListed || mHealth == Health.LEAVING;
    }

    /** Returns whether the instance accepts requests, regardless of its current load. */
    boolean isHealthy() {
        return mListed && mHealth == Health.SERVING && !isEjected();
    }

    /** Returns whether a request may be sent even if the instance doesn't appear healthy. */
    boolean isFallbackCandidate() {
        return !isLeaving() && mInFlight < mLimit;
    }

    /** Returns whether the instance is ejected because of its failure rate. */
    public boolean isEjected() {
        return mEjectedUntil != 0;
    }

    /** Records the start of an attempt. */
    public void attemptStarted() {
        mInFlight++;
        mCandidates.update(this);
    }

    /** Records the outcome of an attempt. */
    public void attemptEnded(AttemptOutcome outcome, long nanos, long now) {
        mInFlight--;
        if (outcome.isInstanceDown()) {
            mHealth = Health.SILENT;
        }
        // Server errors and rejections are excluded, because failing fast would lower the latency.
        if (outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.NO_RESPONSE) {
            mLatency.add(nanos);
            mServiceLatency.add(nanos);
        }
        recordResult(outcome.isInstanceHealthy(), now);
        mCandidates.update(this);
    }

    /** Ends an attempt without an outcome for the instance. */
    public void attemptAbandoned() {
        mInFlight--;
        mCandidates.update(this);
    }

    /**
     * Reserves the next free connection for a health check.
     *
     * <p>Otherwise requests would take each free connection under steady load, and the entry would
     * never learn that the instance is draining.
     */
    public void reserveForProbe(boolean reserved) {
        mReservedForProbe = reserved;
        mCandidates.update(this);
    }

    /** Updates the health of the instance. */
    public void updateHealth(Health health) {
        mHealth = health;
        mCandidates.update(this);
    }

    /**
     * Adjusts the concurrency window to the total load that the instance reports.
     *
     * <p>If the instance has a backlog, each entry sends it fewer requests. They then wait at the
     * entries, where they are prioritised and can be rejected safely.
     *
     * @param inFlight requests from all entries that run or wait at the instance
     * @param slots number of requests that the instance runs concurrently
     */
    public void updateLoad(int inFlight, int slots) {
        double factor = slots * BUSY_FACTOR / Math.max(1, inFlight);
        boolean hasFreeSlots = inFlight < slots;
        double change = hasFreeSlots ? Math.min(MAX_WINDOW_FACTOR, factor) : Math.min(1, factor);
        mWindow = Math.min(mLimit, Math.max(1, mWindow * Math.max(MIN_WINDOW_FACTOR, change)));
        mCandidates.update(this);
    }

    /** Ends the ejection if its time is over; the next request is a trial. */
    void endDueEjection(long now) {
        if (mEjectedUntil != 0 && now - mEjectedUntil >= 0) {
            mEjectedUntil = 0;
            mOnTrial = true;
            mCandidates.update(this);
        }
    }

    void updateListing(boolean listed, int limit) {
        mListed = listed;
        mLimit = limit;
        mCandidates.update(this);
    }

    boolean isAvailable() {
        return isHealthy()
                && !mReservedForProbe
                && mInFlight < (mOnTrial ? 1 : Math.min(mLimit, (int) mWindow));
    }

    /** Returns the expected latency of another attempt, weighted by the failure rate. */
    double cost() {
        double successRate = 1 - mFailureRate;
        // The service's latency is the default, so that an unused instance doesn't appear free.
        MeanLatency latency = mLatency.hasSamples() ? mLatency : mServiceLatency;
        return (mInFlight + 1) * (latency.nanos() + 1) / (successRate * successRate + 1e-3);
    }

    int index() {
        return mIndex;
    }

    void setIndex(int index) {
        mIndex = index;
    }

    private void recordResult(boolean healthy, long now) {
        mFailureRate += ((healthy ? 0 : 1) - mFailureRate) * FAILURE_WEIGHT;
        if (healthy && mOnTrial) {
            mOnTrial = false;
            mFailureRate = 0;
            mEjectionNanos = INITIAL_EJECTION_NANOS;
            return;
        }
        if (!healthy && (mOnTrial || mFailureRate > EJECTION_THRESHOLD) && mEjectedUntil == 0) {
            mEjectedUntil = Math.max(1, now + mEjectionNanos);
            mEjectionNanos = Math.min(MAX_EJECTION_NANOS, mEjectionNanos * 2);
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
                        isEjected() ? "ejected" : mHealth);
    }
}
