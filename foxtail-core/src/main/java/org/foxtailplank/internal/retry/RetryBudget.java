package org.foxtailplank.internal.retry;

/**
 * Retries that are earned by first attempts.
 *
 * <p>When most attempts fail, retrying each would multiply an overload by the number of tries; each
 * first attempt therefore earns a fraction of a retry, and a small reserve lets a quiet entry
 * retry.
 */
public final class RetryBudget {

    private static final double RESERVE = 10;

    private final double mRatio;
    private double mCredit = RESERVE;

    /** Starts with the reserve; {@code ratio} is what each first attempt earns. */
    public RetryBudget(double ratio) {
        mRatio = ratio;
    }

    /** A first attempt was sent. */
    public void earn() {
        mCredit = Math.min(RESERVE, mCredit + mRatio);
    }

    /** Takes one retry where there is one. */
    public boolean spend() {
        if (mCredit < 1) {
            return false;
        }
        mCredit -= 1;
        return true;
    }
}
