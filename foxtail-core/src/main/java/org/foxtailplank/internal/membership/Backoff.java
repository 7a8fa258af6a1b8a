package org.foxtailplank.internal.membership;

import java.util.Random;

/**
 * Grows the wait between tries, with jitter so that nodes that lost a peer together do not return
 * to it together.
 */
public final class Backoff {

    private final long mFirstNanos;
    private final long mMaxNanos;
    private final Random mRandom;
    private long mNextNanos;

    public Backoff(long firstNanos, long maxNanos, Random random) {
        mFirstNanos = firstNanos;
        mMaxNanos = maxNanos;
        mRandom = random;
        mNextNanos = firstNanos;
    }

    /** The wait before the next try: between half of the limit reached and all of it. */
    public long next() {
        long limit = mNextNanos;
        mNextNanos = Math.min(mMaxNanos, limit * 2);
        return limit / 2 + (long) (mRandom.nextDouble() * (limit - limit / 2));
    }

    /** Starts again from the shortest wait. */
    public void reset() {
        mNextNanos = mFirstNanos;
    }
}
