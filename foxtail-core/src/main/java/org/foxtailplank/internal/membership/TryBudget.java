package org.foxtailplank.internal.membership;

/**
 * Limits the tries a second over all peers together.
 *
 * <p>Guards against a storm when a partition heals: without it every node would open connections to
 * all that it had lost in the same moment.
 */
public final class TryBudget {

    private static final long NANOS = 1_000_000_000L;

    private final int mPerSecond;
    private final int mBurst;
    private double mTokens;
    private long mAt;

    public TryBudget(int perSecond, int burst, long now) {
        mPerSecond = perSecond;
        mBurst = burst;
        mTokens = burst;
        mAt = now;
    }

    /** Takes one try if there is one. */
    public boolean take(long now) {
        mTokens = Math.min(mBurst, mTokens + (double) (now - mAt) * mPerSecond / NANOS);
        mAt = now;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
