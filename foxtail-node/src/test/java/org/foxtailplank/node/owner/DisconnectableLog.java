package org.foxtailplank.node.owner;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** A node's connection to the log, which a test can break: requests and answers are then lost. */
final class DisconnectableLog implements SharedLog {
    private final SharedLog mLog;
    private boolean mDisconnected;

    DisconnectableLog(SharedLog log) {
        mLog = log;
    }

    void disconnect() {
        mDisconnected = true;
    }

    void reconnect() {
        mDisconnected = false;
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
        if (!mDisconnected) {
            mLog.append(at, records, r -> deliver(callback, r));
        }
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> callback) {
        if (!mDisconnected) {
            mLog.appendAt(at, expectedEnd, record, r -> deliver(callback, r));
        }
    }

    @Override
    public void appendAs(
            LogPartition at,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> callback) {
        if (!mDisconnected) {
            mLog.appendAs(at, writer, records, r -> deliver(callback, r));
        }
    }

    @Override
    public void read(LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
        if (!mDisconnected) {
            mLog.read(at, from, page, r -> deliver(callback, r));
        }
    }

    @Override
    public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
        if (!mDisconnected) {
            mLog.readNewest(at, after, r -> deliver(callback, r));
        }
    }

    private <T> void deliver(Consumer<T> callback, T result) {
        if (!mDisconnected) {
            callback.accept(result);
        }
    }
}
