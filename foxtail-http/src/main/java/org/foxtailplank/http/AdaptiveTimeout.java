package org.foxtailplank.http;

/**
 * Response timeout computed from observed response times, like TCP's retransmission timeout.
 *
 * <p>A short fixed timeout would abandon and repeat calls to a slow server, which loads it further;
 * a long one would delay the retry of each lost response.
 */
public final class AdaptiveTimeout {
    /** Weight of the latest response time in the mean (RFC 6298). */
    private static final double MEAN_WEIGHT = 1.0 / 8;

    /** Weight of the latest response time in the mean deviation (RFC 6298). */
    private static final double DEVIATION_WEIGHT = 1.0 / 4;

    /** Number of mean deviations added to the mean (RFC 6298). */
    private static final int DEVIATION_FACTOR = 4;

    private final long mMinMs;
    private final long mMaxMs;
    private double mMeanMs;
    private double mDeviationMs;
    private long mTimeoutMs;

    /**
     * Creates a timeout that stays within bounds.
     *
     * @param initialMs timeout before the first response, in milliseconds
     * @param minMs shortest timeout, in milliseconds
     * @param maxMs longest timeout, in milliseconds
     */
    public AdaptiveTimeout(long initialMs, long minMs, long maxMs) {
        mTimeoutMs = initialMs;
        mMinMs = minMs;
        mMaxMs = maxMs;
    }

    /** Returns the timeout of the next call, in milliseconds. */
    public long timeoutMs() {
        return mTimeoutMs;
    }

    /** Records the response time of a successful call. */
    public void answered(long elapsedMs) {
        mDeviationMs += DEVIATION_WEIGHT * (Math.abs(elapsedMs - mMeanMs) - mDeviationMs);
        mMeanMs += MEAN_WEIGHT * (elapsedMs - mMeanMs);
        long estimateMs = (long) (mMeanMs + DEVIATION_FACTOR * mDeviationMs);
        mTimeoutMs = Math.min(mMaxMs, Math.max(mMinMs, estimateMs));
    }

    /** Records a timeout and doubles the timeout of the next call. */
    public void timedOut() {
        mTimeoutMs = Math.min(mMaxMs, 2 * mTimeoutMs);
    }
}
