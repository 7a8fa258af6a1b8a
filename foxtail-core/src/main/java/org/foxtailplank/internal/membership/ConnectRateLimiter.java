package org.foxtailplank.internal.membership;

/**
 * Token bucket that limits the rate of connection attempts to all peers.
 *
 * <p>Prevents a connection storm when a partition heals.
 */
public final class ConnectRateLimiter {

    private static final long NANOS = 1_000_000_000L;

    private final int mPerSecond;
    private final int mBurst;
    private double mTokens;
    private long mRefilledAt;

    public ConnectRateLimiter(int perSecond, int burst, long now) {
        mPerSecond = perSecond;
        mBurst = burst;
        mTokens = burst;
        mRefilledAt = now;
    }

    /** Takes a token if one is available. */
    public boolean tryAcquire(long now) {
        mTokens = Math.min(mBurst, mTokens + (double) (now - mRefilledAt) * mPerSecond / NANOS);
        mRefilledAt = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
