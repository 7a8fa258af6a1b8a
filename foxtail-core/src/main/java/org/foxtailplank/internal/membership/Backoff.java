package org.foxtailplank.internal.membership;

import java.util.Random;

/**
 * Exponential backoff with jitter, so that nodes that lost a peer at the same time don't reconnect
 * at the same time.
 */
public final class Backoff {

    private final long mFirstNanos;
    private final long mMaxNanos;
    private final Random mRandom;
    private long mLimitNanos;

    public Backoff(long firstNanos, long maxNanos, Random random) {
        mFirstNanos = firstNanos;
        mMaxNanos = maxNanos;
        mRandom = random;
        mLimitNanos = firstNanos;
    }

    /** Returns the next delay, which is random between half of the current limit and all of it. */
    public long next() {
        long limit = mLimitNanos;
        mLimitNanos = Math.min(mMaxNanos, limit * 2);
        return limit / 2 + (long) (mRandom.nextDouble() * (limit - limit / 2));
    }

    /** Resets the limit to the initial delay. */
    public void reset() {
        mLimitNanos = mFirstNanos;
    }
}
