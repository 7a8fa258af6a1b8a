package org.foxtailplank.node.journal;

import java.util.ArrayList;
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

/** Follows one partition of the journal. */
final class PartitionReader {
    /** Pause after a failed read, in milliseconds. */
    private static final long RETRY_MS = 200;

    /** Weight of the newest answer in the mean time that the store takes. */
    private static final double NEWEST = 0.25;

    private final SharedLog mLog;
    private final LogPartition mPartition;
    private final Pace mPace;
    private final PageSize mPageSize = new PageSize();
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mOut;
    private final CatchUpLog mProgress;
    private final RecordSink mSink;
    private final List<Consumer<Boolean>> mWaiting = new ArrayList<>();
    private final List<Consumer<Boolean>> mServed = new ArrayList<>();

    private long mPosition;
    private boolean mCaughtUp;
    private boolean mReading;
    private boolean mEager;
    private BooleanSupplier mStreaming = () -> false;
    private long mLastReadMs = Long.MIN_VALUE / 2;
    private long mCompleteMs = Long.MIN_VALUE / 2;
    private double mAnswerMs;

    /**
     * How often a partition is read, in milliseconds.
     *
     * @param followMs pause of a follower between two reads
     * @param streamedMs the same while the owner hands the records on
     * @param ownerWaitMs how long the owner's read waits for a record
     */
    record Pace(long followMs, long streamedMs, long ownerWaitMs) {
        /** For the partition that as a rule has all records. */
        static final Pace FIRST = new Pace(400, 1200, 250);

        /** For the one that is empty as a rule; what comes there comes over the stream too. */
        static final Pace SPARE = new Pace(800, 3000, 1000);
    }

    /** Takes the records in as they are read, in order. */
    @FunctionalInterface
    interface RecordSink {
        void read(long offset, byte[] record);
    }

    PartitionReader(
            SharedLog log,
            LogPartition partition,
            Pace pace,
            Clock clock,
            Timers timers,
            NodeLog out,
            RecordSink sink) {
        mLog = log;
        mPartition = partition;
        mPace = pace;
        mClock = clock;
        mTimers = timers;
        mOut = out;
        mProgress = new CatchUpLog(out, clock, partition);
        mSink = sink;
    }

    /** Offset of the next record to be read. */
    long position() {
        return mPosition;
    }

    /** Whether it was read to its end once. */
    boolean isCaughtUp() {
        return mCaughtUp;
    }

    /** When the store last answered a read. */
    long lastReadMs() {
        return mLastReadMs;
    }

    /**
     * Until when it was read completely: every record that the store had taken by then was read.
     */
    long completeMs() {
        return mCompleteMs;
    }

    /** How long the store lately took for an answer, on average. */
    double answerMs() {
        return mAnswerMs;
    }

    void eager(boolean eager) {
        mEager = eager;
    }

    void streaming(BooleanSupplier streaming) {
        mStreaming = streaming;
    }

    /** Begins to follow; goes on for ever. */
    void follow() {
        if (mEager && mCaughtUp) {
            long asked = mClock.nowMs();
            PageRequest page = page(mPace.ownerWaitMs());
            mLog.read(mPartition, mPosition, page, r -> awaited(r, asked));
        } else {
            refresh(this::followed);
        }
    }

    private PageRequest page(long waitMs) {
        return new PageRequest(waitMs, mPageSize.bytes());
    }

    private void awaited(ReadResult result, long askedMs) {
        boolean atEnd = take(result);
        if (atEnd) {
            completeAt(askedMs + waitedMs(result));
        }
        if (result instanceof SharedLog.Records) {
            follow();
        } else {
            mTimers.after(RETRY_MS, this::follow);
        }
    }

    /** How long the store has surely held an answer back: it does so until records come. */
    private long waitedMs(ReadResult result) {
        boolean none = result instanceof SharedLog.Records page && page.records().isEmpty();
        return none ? mPace.ownerWaitMs() : 0;
    }

    private void completeAt(long ms) {
        mCompleteMs = Math.max(mCompleteMs, Math.min(ms, mClock.nowMs()));
    }

    private void followed(boolean read) {
        if (!read) {
            mTimers.after(RETRY_MS, this::follow);
        } else if (mEager) {
            follow();
        } else {
            long pause = mStreaming.getAsBoolean() ? mPace.streamedMs() : mPace.followMs();
            mTimers.after(pause, this::follow);
        }
    }

    /** A record that the owner has read and handed on; one beyond a gap is read later. */
    void fromOwner(long offset, byte[] record) {
        if (offset == mPosition) {
            mPosition++;
            mSink.read(offset, record);
        } else if (offset > mPosition && !mReading) {
            refresh(read -> {});
        }
    }

    /**
     * Reads to the end as it is now or later, then says whether that worked.
     *
     * <p>All who wait share one pass over the records. Guards against a node behind a narrow link
     * that answers nobody: its own pass and one for callers would ask for the same pages, and the
     * journal would take twice as long to arrive. Who comes while a page is on its way is served by
     * the end that a later read of the same pass finds.
     */
    void refresh(Consumer<Boolean> then) {
        mWaiting.add(then);
        if (!mReading) {
            readOn();
        }
    }

    private void readOn() {
        mReading = true;
        mServed.addAll(mWaiting);
        mWaiting.clear();
        long asked = mClock.nowMs();
        mProgress.asked();
        mLog.read(
                mPartition,
                mPosition,
                page(0),
                r -> {
                    mAnswerMs += NEWEST * (mClock.nowMs() - asked - mAnswerMs);
                    readOne(r, asked);
                });
    }

    private void readOne(ReadResult result, long askedMs) {
        long before = mPosition;
        boolean atEnd = take(result);
        if (atEnd) {
            completeAt(askedMs);
        }
        boolean records = result instanceof SharedLog.Records;
        boolean goesOn = records || mPosition > before;
        if (goesOn && !atEnd) {
            readOn();
            return;
        }
        List<Consumer<Boolean>> served = List.copyOf(mServed);
        mServed.clear();
        mReading = false;
        served.forEach(s -> s.accept(atEnd));
        if (!mReading && !mWaiting.isEmpty()) {
            readOn();
        }
    }

    /** Takes a page in; whether it reaches the end. */
    private boolean take(ReadResult result) {
        if (result instanceof SharedLog.RecordsGone gone) {
            mOut.line("journal-gap")
                    .with("partition", mPartition.number())
                    .with("from", mPosition)
                    .with("to", gone.firstOffset())
                    .write();
            mPosition = Math.max(mPosition, gone.firstOffset());
            return false;
        }
        if (result instanceof SharedLog.ReadFailed failed) {
            mProgress.failed(mPosition, mPageSize.bytes(), failed);
            mPageSize.failed();
            return false;
        }
        SharedLog.Records page = (SharedLog.Records) result;
        mLastReadMs = mClock.nowMs();
        return apply(page);
    }

    private boolean apply(SharedLog.Records page) {
        if (page.records().isEmpty() && page.from() < page.end()) {
            mPageSize.tooSmall();
        } else {
            mPageSize.answered();
        }
        long first = page.from();
        long before = mPosition;
        for (int i = 0; i < page.records().size(); i++) {
            // The owner hands records on meanwhile; what was taken already is passed over.
            if (first + i == mPosition) {
                mPosition++;
                mSink.read(first + i, page.records().get(i));
            }
        }
        mProgress.page(bytes(page), mPosition - before);
        boolean atEnd = mPosition >= page.end();
        if (atEnd) {
            mProgress.atEnd(mPosition);
        }
        mCaughtUp |= atEnd;
        return atEnd;
    }

    private static long bytes(SharedLog.Records page) {
        return page.records().stream().mapToLong(r -> r.length).sum();
    }
}
