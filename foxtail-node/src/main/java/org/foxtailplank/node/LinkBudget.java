package org.foxtailplank.node;

/** A share of a node's network link, as a token bucket of bytes. */
public final class LinkBudget {
    private static final double BITS_A_BYTE = 8;
    private static final double BITS_PER_MEGABIT = 1e6;
    private static final double MS_PER_S = 1000;

    private final double mBytesPerMs;
    private final double mMost;
    private double mLeft;
    private long mFilledMs;

    /**
     * A budget; a link of which nothing is known has none.
     *
     * @param share part of the link, 0 to 1
     * @param burstMs time whose share may be used at once, in milliseconds
     * @param leastBurst bytes that may be used at once on any link
     */
    public LinkBudget(LinkRate link, double share, long burstMs, int leastBurst, long nowMs) {
        boolean unknown = link.equals(LinkRate.UNKNOWN);
        double bitsPerS = link.megabitsPerS() * BITS_PER_MEGABIT;
        mBytesPerMs =
                unknown ? Double.POSITIVE_INFINITY : share * bitsPerS / BITS_A_BYTE / MS_PER_S;
        mMost = Math.max(leastBurst, mBytesPerMs * burstMs);
        mLeft = mMost;
        mFilledMs = nowMs;
    }

    /** Takes bytes off the budget; whether they may be sent now. */
    public boolean take(long bytes, long nowMs) {
        if (mBytesPerMs == Double.POSITIVE_INFINITY) {
            return true;
        }
        mLeft = Math.min(mMost, mLeft + mBytesPerMs * (nowMs - mFilledMs));
        mFilledMs = nowMs;
        if (bytes > mLeft) {
            return false;
        }
        mLeft -= bytes;
        return true;
    }
}
