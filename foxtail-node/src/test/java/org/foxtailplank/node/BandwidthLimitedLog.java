package org.foxtailplank.node;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/**
 * A shared log behind a link of limited bandwidth. Pages are transferred one after the other. A
 * read that can't complete in time fails and uses no bandwidth.
 */
public final class BandwidthLimitedLog implements SharedLog {
    private static final long READ_TIMEOUT_MS = 1000;
    private static final double MS_PER_S = 1000;

    private final FakeSharedLog mLog;
    private final FakeTime mClock;
    private final double mBytesPerMs;
    private long mLinkFreeMs;
    private long mTransferredBytes;

    /** Limits reads of a log to this rate; appends are not limited. */
    public BandwidthLimitedLog(FakeSharedLog log, FakeTime clock, double bytesPerS) {
        mLog = log;
        mClock = clock;
        mBytesPerMs = bytesPerS / MS_PER_S;
    }

    /** Returns the bytes of all records transferred. */
    public long transferredBytes() {
        return mTransferredBytes;
    }

    @Override
    public void read(LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
        mLog.read(at, from, page, r -> deliver(r, callback));
        mLog.deliverAnswers();
    }

    private void deliver(ReadResult result, Consumer<ReadResult> callback) {
        long now = mClock.nowMs();
        long bytes = result instanceof Records r ? bytes(r) : 0;
        long arrivalMs = Math.max(now, mLinkFreeMs) + 1 + (long) (bytes / mBytesPerMs);
        if (arrivalMs - now > READ_TIMEOUT_MS) {
            mClock.after(READ_TIMEOUT_MS, () -> callback.accept(new ReadFailed("timeout")));
            return;
        }
        mLinkFreeMs = arrivalMs;
        mTransferredBytes += bytes;
        mClock.after(arrivalMs - now, () -> callback.accept(result));
    }

    private static long bytes(Records page) {
        return page.records().stream().mapToLong(r -> r.length).sum();
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
        mLog.append(at, records, callback);
        mLog.deliverAnswers();
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> callback) {
        mLog.appendAt(at, expectedEnd, record, callback);
        mLog.deliverAnswers();
    }

    @Override
    public void appendAs(
            LogPartition at,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> callback) {
        mLog.appendAs(at, writer, records, callback);
        mLog.deliverAnswers();
    }

    @Override
    public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
        mLog.readNewest(at, after, callback);
        mLog.deliverAnswers();
    }
}
