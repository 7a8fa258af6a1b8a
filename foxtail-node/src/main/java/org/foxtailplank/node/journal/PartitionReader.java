package org.foxtailplank.node.journal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.PageRequest;
import org.foxtailplank.port.SharedLog.ReadResult;

/** Reads one partition of the journal continuously. */
final class PartitionReader {
    /** Pause after a failed read, in milliseconds. */
    private static final long RETRY_MS = 200;

    /** Weight of the latest sample in the moving average of the store's latency. */
    private static final double LATENCY_WEIGHT = 0.25;

    private final SharedLog mLog;
    private final LogPartition mPartition;
    private final PollIntervals mIntervals;
    private final PageSize mPageSize = new PageSize();
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mNodeLog;
    private final CatchUpLogger mCatchUp;
    private final RecordSink mSink;
    private final List<Consumer<Boolean>> mPendingRefreshes = new ArrayList<>();
    private final List<Consumer<Boolean>> mActiveRefreshes = new ArrayList<>();

    private long mPosition;
    private long mExpiredTo;
    private boolean mCaughtUp;
    private boolean mReading;
    private boolean mLongPolling;
    private BooleanSupplier mStreaming = () -> false;
    private long mLastReadMs = Long.MIN_VALUE / 2;
    private long mCompleteMs = Long.MIN_VALUE / 2;
    private double mLatencyMs;

    /**
     * Intervals of a partition's reads, in milliseconds.
     *
     * @param pollMs pause between two reads
     * @param pollWhileStreamingMs the same while the owner streams records to this node
     * @param longPollMs how long the owner's long poll waits for a record
     */
    record PollIntervals(long pollMs, long pollWhileStreamingMs, long longPollMs) {
        /** Intervals of the primary partition. */
        static final PollIntervals PRIMARY = new PollIntervals(400, 1200, 250);

        /** Intervals of a spare partition, which is usually empty. */
        static final PollIntervals SPARE = new PollIntervals(800, 3000, 1000);

        /**
         * Intervals of a partition of an earlier version's journal, which ends when it is empty.
         */
        static final PollIntervals EARLIER = new PollIntervals(800, 800, 1000);
    }

    /** Receives the records in the order of the partition. */
    @FunctionalInterface
    interface RecordSink {
        /**
         * Receives a record.
         *
         * @param expired whether it had expired in the log, which only retained it under its key
         */
        void accept(long offset, byte[] record, boolean expired);
    }

    PartitionReader(
            SharedLog log,
            LogPartition partition,
            PollIntervals intervals,
            Clock clock,
            Timers timers,
            NodeLog nodeLog,
            RecordSink sink) {
        mLog = log;
        mPartition = partition;
        mIntervals = intervals;
        mClock = clock;
        mTimers = timers;
        mNodeLog = nodeLog;
        mCatchUp = new CatchUpLogger(nodeLog, clock, partition);
        mSink = sink;
    }

    /** Offset of the next record to be read. */
    long position() {
        return mPosition;
    }

    /** Offset up to which records had expired before they were read; 0 if none had. */
    long expiredTo() {
        return mExpiredTo;
    }

    /** Whether the reader has reached the end of the partition at least once. */
    boolean isCaughtUp() {
        return mCaughtUp;
    }

    /** When the store last answered a read, by the node's clock in milliseconds. */
    long lastReadMs() {
        return mLastReadMs;
    }

    /** Time up to which the stored records of the partition have been read. */
    long completeMs() {
        return mCompleteMs;
    }

    /** Moving average of the store's latency, in milliseconds. */
    double latencyMs() {
        return mLatencyMs;
    }

    /** Sets whether to read with long polls instead of at intervals. */
    void setLongPolling(boolean enabled) {
        mLongPolling = enabled;
    }

    /** Sets the condition under which the owner streams records to this node. */
    void setStreaming(BooleanSupplier streaming) {
        mStreaming = streaming;
    }

    /**
     * Whether the partition isn't read any more, as an earlier version's journal that was never
     * written.
     */
    boolean isAbandoned() {
        return mIntervals == PollIntervals.EARLIER && mCaughtUp && mPosition == 0;
    }

    /** Starts to read the partition, indefinitely. */
    void follow() {
        if (isAbandoned()) {
            return;
        }
        if (mLongPolling && mCaughtUp) {
            long sentMs = mClock.nowMs();
            PageRequest page = page(mIntervals.longPollMs());
            mLog.read(mPartition, mPosition, page, r -> longPollAnswered(r, sentMs));
        } else {
            refresh(this::refreshed);
        }
    }

    private PageRequest page(long waitMs) {
        return new PageRequest(waitMs, mPageSize.bytes());
    }

    private void longPollAnswered(ReadResult result, long sentMs) {
        if (result instanceof SharedLog.RecordsGone) {
            // A refresh also reads the records that have expired.
            refresh(this::refreshed);
            return;
        }
        boolean atEnd = handleResult(result);
        if (atEnd) {
            advanceComplete(sentMs + minHeldMs(result));
        }
        if (result instanceof SharedLog.Records) {
            follow();
        } else {
            mTimers.after(RETRY_MS, this::follow);
        }
    }

    /**
     * Minimum time for which the store held back the answer to a long poll: an empty one times out.
     */
    private long minHeldMs(ReadResult result) {
        boolean empty = result instanceof SharedLog.Records page && page.records().isEmpty();
        return empty ? mIntervals.longPollMs() : 0;
    }

    private void advanceComplete(long ms) {
        mCompleteMs = Math.max(mCompleteMs, Math.min(ms, mClock.nowMs()));
    }

    private void refreshed(boolean succeeded) {
        if (!succeeded) {
            mTimers.after(RETRY_MS, this::follow);
        } else if (mLongPolling) {
            follow();
        } else {
            long pause =
                    mStreaming.getAsBoolean()
                            ? mIntervals.pollWhileStreamingMs()
                            : mIntervals.pollMs();
            mTimers.after(pause, this::follow);
        }
    }

    /** Applies a record streamed by the owner; if it is beyond a gap, reads the gap first. */
    void applyStreamed(long offset, byte[] record) {
        if (offset == mPosition) {
            mPosition++;
            mSink.accept(offset, record, false);
        } else if (offset > mPosition && !mReading) {
            refresh(succeeded -> {});
        }
    }

    /** Applies records that the store has just accepted, unless others precede them. */
    void applyStored(long firstOffset, List<byte[]> records) {
        for (int i = 0; i < records.size(); i++) {
            if (firstOffset + i == mPosition) {
                mPosition++;
                mSink.accept(firstOffset + i, records.get(i), false);
            }
        }
    }

    /**
     * Reads to the current end or beyond, then reports whether that succeeded.
     *
     * <p>Concurrent refreshes share their reads, so that a node with a slow link doesn't fetch the
     * same pages several times. A refresh that is requested during a read is completed by a later
     * one.
     */
    void refresh(Consumer<Boolean> callback) {
        mPendingRefreshes.add(callback);
        if (!mReading) {
            readNextPage();
        }
    }

    private void readNextPage() {
        mReading = true;
        mActiveRefreshes.addAll(mPendingRefreshes);
        mPendingRefreshes.clear();
        long sentMs = mClock.nowMs();
        mCatchUp.readSent();
        mLog.read(
                mPartition,
                mPosition,
                page(0),
                r -> {
                    mLatencyMs += LATENCY_WEIGHT * (mClock.nowMs() - sentMs - mLatencyMs);
                    pageAnswered(r, sentMs);
                });
    }

    private void pageAnswered(ReadResult result, long sentMs) {
        if (result instanceof SharedLog.RecordsGone gone && gone.firstOffset() > mPosition) {
            if (mPartition.keyed()) {
                readRetained(gone.firstOffset());
            } else {
                mPosition = gone.firstOffset();
                readNextPage();
            }
            return;
        }
        long before = mPosition;
        boolean atEnd = handleResult(result);
        if (atEnd) {
            advanceComplete(sentMs);
        }
        boolean succeeded = result instanceof SharedLog.Records;
        boolean progressed = succeeded || mPosition > before;
        if (progressed && !atEnd) {
            readNextPage();
            return;
        }
        completeRefreshes(atEnd);
    }

    private void completeRefreshes(boolean atEnd) {
        List<Consumer<Boolean>> completed = List.copyOf(mActiveRefreshes);
        mActiveRefreshes.clear();
        mReading = false;
        completed.forEach(c -> c.accept(atEnd));
        if (!mReading && !mPendingRefreshes.isEmpty()) {
            readNextPage();
        }
    }

    /**
     * Reads the expired records that are still retained, then reads on. Those that are missing have
     * been replaced by records with higher offsets.
     */
    private void readRetained(long to) {
        mReading = true;
        readRetainedPage(to, "", new ArrayList<>());
    }

    private void readRetainedPage(long to, String after, List<SharedLog.OffsetRecord> records) {
        mLog.readNewest(mPartition, after, r -> retainedPageAnswered(to, records, r));
    }

    private void retainedPageAnswered(
            long to, List<SharedLog.OffsetRecord> records, SharedLog.NewestResult result) {
        if (!(result instanceof SharedLog.NewestPage page)) {
            mNodeLog.line("journal-retained-failed")
                    .with("partition", mPartition.number())
                    .with("why", result)
                    .write();
            completeRefreshes(false);
            return;
        }
        page.records().stream()
                .filter(r -> r.offset() >= mPosition && r.offset() < to)
                .forEach(records::add);
        if (page.next().isPresent()) {
            readRetainedPage(to, page.next().get(), records);
            return;
        }
        applyRetained(to, records);
        readNextPage();
    }

    private void applyRetained(long to, List<SharedLog.OffsetRecord> records) {
        mNodeLog.line("journal-gap")
                .with("partition", mPartition.number())
                .with("from", mPosition)
                .with("to", to)
                .with("retained", records.size())
                .write();
        records.sort(Comparator.comparingLong(SharedLog.OffsetRecord::offset));
        for (SharedLog.OffsetRecord r : records) {
            mSink.accept(r.offset(), r.record(), true);
        }
        mPosition = Math.max(mPosition, to);
        mExpiredTo = to;
    }

    /** Handles the result of a read; returns whether it reached the end of the partition. */
    private boolean handleResult(ReadResult result) {
        if (result instanceof SharedLog.RecordsGone) {
            return false;
        }
        if (result instanceof SharedLog.ReadFailed failed) {
            mCatchUp.readFailed(mPosition, mPageSize.bytes(), failed);
            mPageSize.onFailure();
            return false;
        }
        SharedLog.Records page = (SharedLog.Records) result;
        mLastReadMs = mClock.nowMs();
        return apply(page);
    }

    private boolean apply(SharedLog.Records page) {
        if (page.records().isEmpty() && page.from() < page.end()) {
            mPageSize.onRecordTooLarge();
        } else {
            mPageSize.onSuccess();
        }
        long first = page.from();
        long before = mPosition;
        for (int i = 0; i < page.records().size(); i++) {
            // Skip records that the owner has streamed in the meantime.
            if (first + i == mPosition) {
                mPosition++;
                mSink.accept(first + i, page.records().get(i), false);
            }
        }
        mCatchUp.pageReceived(bytes(page), mPosition - before);
        boolean atEnd = mPosition >= page.end();
        if (atEnd) {
            mCatchUp.endReached(mPosition);
        }
        mCaughtUp |= atEnd;
        return atEnd;
    }

    private static long bytes(SharedLog.Records page) {
        return page.records().stream().mapToLong(r -> r.length).sum();
    }
}
