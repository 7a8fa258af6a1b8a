package org.foxtailplank.platform.burn;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.platform.LogEntry;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.ReadResult;
import org.foxtailplank.platform.StoredEntry;
import org.foxtailplank.slo.BurnBook;
import org.foxtailplank.slo.BurnReport;
import org.foxtailplank.slo.IntervalReport;
import org.foxtailplank.slo.ServiceCounts;
import org.foxtailplank.wire.BurnCodec;

/**
 * Writes this node's interval reports to the log and merges those of all nodes.
 *
 * <p>Guards against the loss of what a replaced entry had counted: its reports stay on the log, so
 * only the interval that was under way is lost. While the platform is away, reports wait here, the
 * oldest giving way; what a node that is replaced meanwhile still held is lost with it.
 */
public final class BurnLog {

    /** Stream of the log that holds the reports. */
    public static final String STREAM = "burn";

    private static final int MAX_WAITING = 4096;
    private static final int MAX_BATCH = 64;
    private static final int READ_LIMIT = 1000;

    private final PlatformLog mLog;
    private final NodeId mNode;
    private final long mIncarnation;
    private final BurnCounters mCounters;
    private final BurnBook mBook;
    private final Deque<IntervalReport> mWaiting = new ArrayDeque<>();

    private Map<ServiceId, ServiceCounts> mCounted = Map.of();
    private long mSequence;
    private long mNext = 1;
    private boolean mSending;
    private boolean mReading;

    private BurnLog(
            PlatformLog log, NodeId node, long incarnation, BurnCounters counters, Duration kept) {
        mLog = log;
        mNode = node;
        mIncarnation = incarnation;
        mCounters = counters;
        mBook = BurnBook.keeping(kept);
    }

    /** Reports of one node, and those of the others kept for some time. */
    public static BurnLog of(
            PlatformLog log, NodeId node, long incarnation, BurnCounters counters, Duration kept) {
        return new BurnLog(log, node, incarnation, counters, kept);
    }

    /** Ends an interval: writes what was counted in it. To be called once an interval. */
    public CompletionStage<Void> endInterval(Instant now) {
        synchronized (this) {
            Map<ServiceId, ServiceCounts> counts = mCounters.read();
            Map<ServiceId, ServiceCounts> added = BurnCounters.between(mCounted, counts);
            mCounted = counts;
            if (!added.isEmpty()) {
                mSequence++;
                mWaiting.addLast(new IntervalReport(mNode, mIncarnation, mSequence, now, added));
            }
            if (mWaiting.size() > MAX_WAITING) {
                mWaiting.removeFirst();
            }
        }
        return send();
    }

    /** Reads what the nodes have written since the last call. */
    public CompletionStage<Void> refresh() {
        long from;
        synchronized (this) {
            if (mReading) {
                return CompletableFuture.completedFuture(null);
            }
            mReading = true;
            from = mNext;
        }
        return mLog.read(STREAM, from, READ_LIMIT, Duration.ZERO)
                .handle((result, e) -> e == null && take(from, result))
                .thenCompose(more -> more ? refresh() : CompletableFuture.completedFuture(null));
    }

    /** The report over all nodes, of what was read so far. */
    public synchronized BurnReport report(
            Map<ServiceId, Double> objectives, Duration window, Instant now) {
        mBook.expire(now);
        return BurnReport.of(mBook, objectives, window, now);
    }

    private CompletionStage<Void> send() {
        List<IntervalReport> batch;
        synchronized (this) {
            if (mSending || mWaiting.isEmpty()) {
                return CompletableFuture.completedFuture(null);
            }
            mSending = true;
            batch = mWaiting.stream().limit(MAX_BATCH).toList();
        }
        return mLog.append(STREAM, entries(batch))
                .handle((result, e) -> sent(batch, e == null))
                .thenCompose(more -> more ? send() : CompletableFuture.completedFuture(null));
    }

    private synchronized boolean sent(List<IntervalReport> batch, boolean done) {
        mSending = false;
        if (done) {
            // A lost answer leaves the batch here and it is appended again; BurnBook counts it
            // once.
            mWaiting.removeAll(batch);
        }
        return done && !mWaiting.isEmpty();
    }

    private synchronized boolean take(long from, ReadResult result) {
        for (StoredEntry entry : result.entries()) {
            BurnCodec.decode(entry.data()).ifPresent(mBook::add);
            mNext = entry.offset() + 1;
        }
        if (result.entries().isEmpty()) {
            // A log that came back shorter, or whose oldest reports expired: burn is what the log
            // still says, and reports that were merged before stay merged.
            mNext = Math.max(result.oldest(), Math.min(from, result.end()));
        }
        mReading = false;
        return mNext != from && mNext < result.end();
    }

    private static List<LogEntry> entries(List<IntervalReport> batch) {
        List<LogEntry> entries = new ArrayList<>();
        for (IntervalReport r : batch) {
            String id =
                    "burn-"
                            + r.node()
                            + "-"
                            + Long.toHexString(r.incarnation())
                            + "-"
                            + r.sequence();
            entries.add(new LogEntry(RecordId.of(id), BurnCodec.encode(r)));
        }
        return entries;
    }
}
