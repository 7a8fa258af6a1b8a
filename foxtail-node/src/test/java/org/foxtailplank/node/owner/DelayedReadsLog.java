package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** A shared log that executes the reads of one partition when a test lets it. */
final class DelayedReadsLog implements SharedLog {
    private final SharedLog mLog;
    private final LogPartition mDelayed;
    private final List<Runnable> mReads = new ArrayList<>();

    DelayedReadsLog(SharedLog log, LogPartition delayed) {
        mLog = log;
        mDelayed = delayed;
    }

    /** Executes the delayed reads. */
    void executeReads() {
        List<Runnable> reads = List.copyOf(mReads);
        mReads.clear();
        reads.forEach(Runnable::run);
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
        mLog.append(at, records, callback);
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> callback) {
        mLog.appendAt(at, expectedEnd, record, callback);
    }

    @Override
    public void appendAs(
            LogPartition at,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> callback) {
        mLog.appendAs(at, writer, records, callback);
    }

    @Override
    public void read(LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
        Runnable read = () -> mLog.read(at, from, page, callback);
        if (at.equals(mDelayed)) {
            mReads.add(read);
        } else {
            read.run();
        }
    }
}
