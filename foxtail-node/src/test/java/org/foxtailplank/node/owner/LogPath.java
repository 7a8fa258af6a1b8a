package org.foxtailplank.node.owner;

import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** A node's way to the log, which can be cut; nothing arrives and nothing is answered then. */
final class LogPath implements SharedLog {
    private final SharedLog mLog;
    private boolean mCut;

    LogPath(SharedLog log) {
        mLog = log;
    }

    void cut() {
        mCut = true;
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> then) {
        if (!mCut) {
            mLog.append(at, records, r -> answer(then, r));
        }
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> then) {
        if (!mCut) {
            mLog.appendAt(at, expectedEnd, record, r -> answer(then, r));
        }
    }

    @Override
    public void appendAs(
            LogPartition at,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> then) {
        if (!mCut) {
            mLog.appendAs(at, writer, records, r -> answer(then, r));
        }
    }

    @Override
    public void read(LogPartition at, long from, long waitMs, Consumer<ReadResult> then) {
        if (!mCut) {
            mLog.read(at, from, waitMs, r -> answer(then, r));
        }
    }

    private <T> void answer(Consumer<T> then, T result) {
        if (!mCut) {
            then.accept(result);
        }
    }
}
