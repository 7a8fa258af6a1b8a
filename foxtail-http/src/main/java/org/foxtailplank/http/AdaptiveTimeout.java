package org.foxtailplank.http;

/**
 * How long to wait for an answer, learned from the answers before, as TCP does for its segments.
 *
 * <p>Answers two opposite troubles of a server that usually answers within milliseconds. Where it
 * loses answers, a fixed timeout that suits slow times makes each loss cost that whole time. Where
 * it is slow, a fixed timeout that suits fast times gives calls up that would have been answered,
 * and their repetitions make it slower still.
 */
public final class AdaptiveTimeout {
    /** Weight of the newest answer in the mean time, as in RFC 6298. */
    private static final double MEAN_WEIGHT = 1.0 / 8;

    /** Weight of the newest answer in the mean deviation, as in RFC 6298. */
    private static final double DEVIATION_WEIGHT = 1.0 / 4;

    /** Deviations that are waited beyond the mean, as in RFC 6298. */
    private static final int DEVIATIONS = 4;

    private final long mLeastMs;
    private final long mMostMs;
    private double mMeanMs;
    private double mDeviationMs;
    private long mTimeoutMs;

    /**
     * A timeout that stays within bounds.
     *
     * @param firstMs timeout before anything is known, in milliseconds
     * @param leastMs shortest timeout, in milliseconds
     * @param mostMs longest timeout, in milliseconds
     */
    public AdaptiveTimeout(long firstMs, long leastMs, long mostMs) {
        mTimeoutMs = firstMs;
        mLeastMs = leastMs;
        mMostMs = mostMs;
    }

    /** How long to wait for the next answer, in milliseconds. */
    public long timeoutMs() {
        return mTimeoutMs;
    }

    /** An answer came after so many milliseconds. */
    public void answered(long tookMs) {
        mDeviationMs += DEVIATION_WEIGHT * (Math.abs(tookMs - mMeanMs) - mDeviationMs);
        mMeanMs += MEAN_WEIGHT * (tookMs - mMeanMs);
        long learned = (long) (mMeanMs + DEVIATIONS * mDeviationMs);
        mTimeoutMs = Math.min(mMostMs, Math.max(mLeastMs, learned));
    }

    /** No answer came in time; the next call is given twice as long. */
    public void timedOut() {
        mTimeoutMs = Math.min(mMostMs, 2 * mTimeoutMs);
    }
}
