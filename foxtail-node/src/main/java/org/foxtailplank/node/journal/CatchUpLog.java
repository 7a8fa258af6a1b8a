package org.foxtailplank.node.journal;

import org.foxtailplank.node.Clock;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog.ReadFailed;

/**
 * Log lines that tell how a node follows a partition of the journal: which reads fail, and how long
 * it took to get to the end once it was behind.
 */
final class CatchUpLog {
    /** Lags that end sooner are not written down, in milliseconds: callers hardly notice them. */
    private static final long NOTICED_MS = 500;

    private final NodeLog mOut;
    private final Clock mClock;
    private final LogPartition mPartition;
    private long mBehindSinceMs;
    private boolean mBehind;
    private long mPages;
    private long mBytes;
    private long mTaken;

    CatchUpLog(NodeLog out, Clock clock, LogPartition partition) {
        mOut = out;
        mClock = clock;
        mPartition = partition;
    }

    /** A read that doesn't wait is on its way; until one reaches the end the node is behind. */
    void asked() {
        if (!mBehind) {
            mBehind = true;
            mBehindSinceMs = mClock.nowMs();
            mPages = 0;
            mBytes = 0;
            mTaken = 0;
        }
    }

    /**
     * A page has come.
     *
     * @param bytes bytes of its records
     * @param taken how many of its records had not been read before
     */
    void page(long bytes, long taken) {
        mPages++;
        mBytes += bytes;
        mTaken += taken;
    }

    /** A read has failed. */
    void failed(long from, int pageBytes, ReadFailed result) {
        mOut.line("journal-read-failed")
                .with("partition", mPartition.number())
                .with("from", from)
                .with("pageBytes", pageBytes)
                .with("behindMs", mBehind ? mClock.nowMs() - mBehindSinceMs : 0)
                .with("why", result.reason())
                .write();
    }

    /** The end was reached. */
    void atEnd(long position) {
        long behindMs = mClock.nowMs() - mBehindSinceMs;
        if (mBehind && behindMs >= NOTICED_MS) {
            mOut.line("journal-caught-up")
                    .with("partition", mPartition.number())
                    .with("position", position)
                    .with("behindMs", behindMs)
                    .with("pages", mPages)
                    .with("bytes", mBytes)
                    .with("records", mTaken)
                    .write();
        }
        mBehind = false;
    }
}
