package org.foxtailplank.internal.retry;

/**
 * Limits retries to a fraction of the first attempts, so that retries don't amplify an overload.
 *
 * <p>A small initial balance allows retries at an entry with little traffic.
 */
public final class RetryBudget {

    private static final double MAX_BALANCE = 10;

    private final double mRatio;
    private double mBalance = MAX_BALANCE;

    /**
     * Creates a budget with the full balance.
     *
     * @param ratio number of retries that each first attempt adds
     */
    public RetryBudget(double ratio) {
        mRatio = ratio;
    }

    /** Adds to the budget for a first attempt. */
    public void deposit() {
        mBalance = Math.min(MAX_BALANCE, mBalance + mRatio);
    }

    /** Withdraws one retry if the balance allows it. */
    public boolean tryWithdraw() {
        if (mBalance < 1) {
            return false;
        }
        mBalance -= 1;
        return true;
    }
}
