package org.foxtailplank.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;

/** A shared log whose records expire a while after they were stored, as the platform's do. */
public final class ExpiringLog implements SharedLog {
    private final FakeSharedLog mLog;
    private final FakeTime mTime;
    private final long mRetentionMs;
    private final Map<LogPartition, Retained> mRetained = new HashMap<>();

    /** The offset of a partition's first record, and when each later one was stored. */
    private static final class Retained {
        long mFirst;
        final Deque<Long> mStoredMs = new ArrayDeque<>();
    }

    public ExpiringLog(FakeSharedLog log, FakeTime time, long retentionMs) {
        mLog = log;
        mTime = time;
        mRetentionMs = retentionMs;
    }

    /** Offset of the first record that is retained; called after each append. */
    private long firstOffset(LogPartition at) {
        Retained retained = mRetained.computeIfAbsent(at, p -> new Retained());
        long end = mLog.records(at).size();
        while (retained.mFirst + retained.mStoredMs.size() < end) {
            retained.mStoredMs.add(mTime.nowMs());
        }
        while (!retained.mStoredMs.isEmpty()
                && retained.mStoredMs.peek() < mTime.nowMs() - mRetentionMs) {
            retained.mStoredMs.poll();
            retained.mFirst++;
        }
        return retained.mFirst;
    }

    @Override
    public void append(LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
        mLog.append(at, records, callback);
        firstOffset(at);
    }

    @Override
    public void appendAt(
            LogPartition at, long expectedEnd, byte[] record, Consumer<AppendResult> callback) {
        mLog.appendAt(at, expectedEnd, record, callback);
        firstOffset(at);
    }

    @Override
    public void appendAs(
            LogPartition at,
            WriterEpoch writer,
            List<byte[]> records,
            Consumer<AppendResult> callback) {
        mLog.appendAs(at, writer, records, callback);
        firstOffset(at);
    }

    @Override
    public void read(LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
        long first = firstOffset(at);
        mLog.read(
                at,
                from,
                page,
                r ->
                        callback.accept(
                                r instanceof Records && from < first ? new RecordsGone(first) : r));
    }

    @Override
    public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
        mLog.readNewest(at, after, callback);
    }
}
