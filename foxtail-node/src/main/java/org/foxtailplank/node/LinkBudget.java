package org.foxtailplank.node;

/** Token bucket that limits traffic to a share of a node's network link. */
public final class LinkBudget {
    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1e6;
    private static final double MS_PER_S = 1000;

    private final double mBytesPerMs;
    private final double mCapacityBytes;
    private double mAvailableBytes;
    private long mLastRefillMs;

    /**
     * Creates a full bucket; a link of unknown rate is not limited.
     *
     * @param share share of the link, 0 to 1
     * @param burstMs time whose share may be used at once, in milliseconds
     * @param minBurstBytes bytes that may be used at once on any link
     */
    public LinkBudget(LinkRate link, double share, long burstMs, int minBurstBytes, long nowMs) {
        boolean unknown = link.equals(LinkRate.UNKNOWN);
        double bitsPerS = link.megabitsPerS() * BITS_PER_MEGABIT;
        mBytesPerMs =
                unknown ? Double.POSITIVE_INFINITY : share * bitsPerS / BITS_PER_BYTE / MS_PER_S;
        mCapacityBytes = Math.max(minBurstBytes, mBytesPerMs * burstMs);
        mAvailableBytes = mCapacityBytes;
        mLastRefillMs = nowMs;
    }

    /** Takes bytes from the bucket and returns true, or returns false if it holds too few. */
    public boolean tryConsume(long bytes, long nowMs) {
        return tryConsume(bytes, 0, nowMs);
    }

    /**
     * The same, but leaves a share of a full bucket for other traffic.
     *
     * @param reservedShare share that must be left, 0 to 1
     */
    public boolean tryConsume(long bytes, double reservedShare, long nowMs) {
        if (mBytesPerMs == Double.POSITIVE_INFINITY) {
            return true;
        }
        mAvailableBytes =
                Math.min(mCapacityBytes, mAvailableBytes + mBytesPerMs * (nowMs - mLastRefillMs));
        mLastRefillMs = nowMs;
        if (bytes > mAvailableBytes - reservedShare * mCapacityBytes) {
            return false;
        }
        mAvailableBytes -= bytes;
        return true;
    }
}
