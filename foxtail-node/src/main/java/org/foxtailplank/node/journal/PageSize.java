package org.foxtailplank.node.journal;

import org.foxtailplank.port.SharedLog;

/**
 * How much of a partition to ask for at a time, learned from the reads before, as TCP does for its
 * congestion window.
 *
 * <p>Guards against a node that has fallen behind, as after a cut, and never catches up: over a
 * narrow link a large page takes longer than a read is waited for, and each read that is given up
 * would be begun again from the same place. Callers that ask the node for jobs would get no answer.
 * A page that shrinks with each failure arrives in time at last.
 */
final class PageSize {
    /** Asked for while nothing fails, in bytes: 0.3 s over a link of 7 Mbit/s. */
    private static final int USUAL_BYTES = 256 << 10;

    private static final int LEAST_BYTES = 16 << 10;

    /** How much larger a page is after one that was answered, in bytes. */
    private static final int STEP_BYTES = 16 << 10;

    private int mBytes = USUAL_BYTES;

    int bytes() {
        return mBytes;
    }

    void answered() {
        mBytes = Math.max(mBytes, Math.min(USUAL_BYTES, mBytes + STEP_BYTES));
    }

    void failed() {
        mBytes = Math.max(LEAST_BYTES, mBytes / 2);
    }

    /** The next record is larger than the page, which came back without any. */
    void tooSmall() {
        mBytes = Math.min(SharedLog.MAX_PAGE_BYTES, mBytes * 2);
    }
}
