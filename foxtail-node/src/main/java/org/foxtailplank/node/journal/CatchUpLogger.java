package org.foxtailplank.node.journal;

import org.foxtailplank.node.Clock;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog.ReadFailed;

/** Logs failed reads of a journal partition, and how long it took to catch up after a lag. */
final class CatchUpLogger {
    /** Shorter lags aren't logged, in milliseconds: callers hardly notice them. */
    private static final long MIN_LOGGED_LAG_MS = 500;

    private final NodeLog mNodeLog;
    private final Clock mClock;
    private final LogPartition mPartition;
    private long mBehindSinceMs;
    private boolean mBehind;
    private long mPages;
    private long mBytes;
    private long mNewRecords;

    CatchUpLogger(NodeLog nodeLog, Clock clock, LogPartition partition) {
        mNodeLog = nodeLog;
        mClock = clock;
        mPartition = partition;
    }

    /** Starts to measure a lag, if none is being measured; it lasts until the end is reached. */
    void readSent() {
        if (!mBehind) {
            mBehind = true;
            mBehindSinceMs = mClock.nowMs();
            mPages = 0;
            mBytes = 0;
            mNewRecords = 0;
        }
    }

    /**
     * Counts a page that was read.
     *
     * @param bytes total size of its records
     * @param newRecords number of its records that had not been read before
     */
    void pageReceived(long bytes, long newRecords) {
        mPages++;
        mBytes += bytes;
        mNewRecords += newRecords;
    }

    /** Logs a failed read. */
    void readFailed(long from, int pageBytes, ReadFailed result) {
        mNodeLog.line("journal-read-failed")
                .with("partition", mPartition.number())
                .with("from", from)
                .with("pageBytes", pageBytes)
                .with("behindMs", mBehind ? mClock.nowMs() - mBehindSinceMs : 0)
                .with("why", result.reason())
                .write();
    }

    /** Ends the lag, and logs it if it was long enough. */
    void endReached(long position) {
        long behindMs = mClock.nowMs() - mBehindSinceMs;
        if (mBehind && behindMs >= MIN_LOGGED_LAG_MS) {
            mNodeLog.line("journal-caught-up")
                    .with("partition", mPartition.number())
                    .with("position", position)
                    .with("behindMs", behindMs)
                    .with("pages", mPages)
                    .with("bytes", mBytes)
                    .with("records", mNewRecords)
                    .write();
        }
        mBehind = false;
    }
}
