package org.foxtailplank.node.journal;

import org.foxtailplank.port.SharedLog;

/**
 * Adaptive page size of a partition's reads, with additive increase and multiplicative decrease.
 *
 * <p>Lets a lagging node catch up over a slow link: a large page would exceed the read timeout, and
 * each retry from the same offset would time out again.
 */
final class PageSize {
    /** Initial size and limit of the increase, in bytes: 0.3 s over a link of 7 Mbit/s. */
    private static final int DEFAULT_BYTES = 256 << 10;

    private static final int MIN_BYTES = 16 << 10;

    /** Increase after each successful read, in bytes. */
    private static final int INCREMENT_BYTES = 16 << 10;

    private int mBytes = DEFAULT_BYTES;

    int bytes() {
        return mBytes;
    }

    void onSuccess() {
        mBytes = Math.max(mBytes, Math.min(DEFAULT_BYTES, mBytes + INCREMENT_BYTES));
    }

    void onFailure() {
        mBytes = Math.max(MIN_BYTES, mBytes / 2);
    }

    /** Doubles the size after a read that returned nothing because the next record is larger. */
    void onRecordTooLarge() {
        mBytes = Math.min(SharedLog.MAX_PAGE_BYTES, mBytes * 2);
    }
}
