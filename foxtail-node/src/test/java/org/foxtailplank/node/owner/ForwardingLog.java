package org.foxtailplank.node.owner;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** A shared log that forwards all calls to another one; subclasses change some of them. */
abstract class ForwardingLog implements SharedLog {
    private final SharedLog mLog;

    ForwardingLog(SharedLog log) {
        mLog = log;
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
        mLog.read(at, from, page, callback);
    }

    @Override
    public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
        mLog.readNewest(at, after, callback);
    }
}
