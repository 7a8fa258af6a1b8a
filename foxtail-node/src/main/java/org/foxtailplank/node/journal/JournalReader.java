package org.foxtailplank.node.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.ReadResult;

/** Follows the journal and keeps the book of jobs that it tells of. */
public final class JournalReader {
    /** Pause after a failed read, in milliseconds. */
    private static final long RETRY_MS = 200;

    /** How long a follower waits between two reads, in milliseconds. */
    private static final long FOLLOW_MS = 400;

    /** The same while the owner hands the records on. */
    private static final long STREAMED_MS = 1200;

    /** Weight of the newest answer in the mean time that the store takes. */
    private static final double NEWEST = 0.25;

    /** How long the owner's read waits for a record, in milliseconds. */
    private static final long OWNER_WAIT_MS = 250;

    private final SharedLog mLog;
    private final LogPartition mPartition;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mOut;
    private final JobBook mBook;
    private final BiConsumer<JournalRecord, Optional<JobEntry>> mListener;
    private final List<Consumer<Boolean>> mWaiting = new ArrayList<>();

    private long mPosition;
    private boolean mCaughtUp;
    private boolean mRefreshing;
    private boolean mEager;
    private BooleanSupplier mStreaming = () -> false;
    private RecordTap mTap = (offset, record) -> {};
    private long mLastReadMs = Long.MIN_VALUE / 2;
    private double mAnswerMs;

    public JournalReader(
            SharedLog log,
            LogPartition partition,
            Clock clock,
            Timers timers,
            NodeLog out,
            JobBook book,
            BiConsumer<JournalRecord, Optional<JobEntry>> listener) {
        mLog = log;
        mPartition = partition;
        mClock = clock;
        mTimers = timers;
        mOut = out;
        mBook = book;
        mListener = listener;
    }

    public JobBook book() {
        return mBook;
    }

    /** Offset of the next record to be read. */
    public long position() {
        return mPosition;
    }

    /** Whether the journal was read to its end once. */
    public boolean isCaughtUp() {
        return mCaughtUp;
    }

    /** When the store last answered a read. */
    public long lastReadMs() {
        return mLastReadMs;
    }

    /** How long the store lately took for an answer, on average. */
    public long answerMs() {
        return (long) mAnswerMs;
    }

    /** The owner learns of each record at once; others look twice a second and when asked. */
    public void eager(boolean eager) {
        mEager = eager;
    }

    /** Begins to follow; goes on for ever. */
    public void follow() {
        if (mEager && mCaughtUp) {
            mLog.read(mPartition, mPosition, OWNER_WAIT_MS, this::followed);
            return;
        }
        long asked = mClock.nowMs();
        mLog.read(
                mPartition,
                mPosition,
                0,
                r -> {
                    mAnswerMs += NEWEST * (mClock.nowMs() - asked - mAnswerMs);
                    followed(r);
                });
    }

    private void followed(ReadResult result) {
        boolean atEnd = take(result);
        if (!(result instanceof SharedLog.Records)) {
            mTimers.after(RETRY_MS, this::follow);
        } else if (!atEnd || mEager) {
            follow();
        } else {
            long pause = mStreaming.getAsBoolean() ? STREAMED_MS : FOLLOW_MS;
            mTimers.after(pause, this::follow);
        }
    }

    /** A record that the owner has read and handed on; one beyond a gap is read later. */
    public void fromOwner(long offset, byte[] record) {
        if (offset == mPosition) {
            mPosition++;
            apply(record, offset);
        } else if (offset > mPosition && !mRefreshing) {
            refresh(read -> {});
        }
    }

    /** While the owner hands records on, the store is only read to see that it is there. */
    public void streaming(BooleanSupplier streaming) {
        mStreaming = streaming;
    }

    /** Tells of each record as it is read, in order. */
    public void tap(RecordTap tap) {
        mTap = tap;
    }

    /** Is told of records. */
    @FunctionalInterface
    public interface RecordTap {
        void read(long offset, byte[] record);
    }

    /** Reads to the end as it is now or later, then says whether that worked. */
    public void refresh(Consumer<Boolean> then) {
        mWaiting.add(then);
        if (!mRefreshing) {
            startRefresh();
        }
    }

    private void startRefresh() {
        mRefreshing = true;
        List<Consumer<Boolean>> served = List.copyOf(mWaiting);
        mWaiting.clear();
        readToEnd(served);
    }

    private void readToEnd(List<Consumer<Boolean>> served) {
        long asked = mClock.nowMs();
        mLog.read(
                mPartition,
                mPosition,
                0,
                r -> {
                    mAnswerMs += NEWEST * (mClock.nowMs() - asked - mAnswerMs);
                    boolean atEnd = take(r);
                    boolean failed = !(r instanceof SharedLog.Records);
                    if (!failed && !atEnd) {
                        readToEnd(served);
                        return;
                    }
                    served.forEach(s -> s.accept(!failed));
                    mRefreshing = false;
                    if (!mWaiting.isEmpty()) {
                        startRefresh();
                    }
                });
    }

    /** Takes a page in; whether it reaches the end. */
    private boolean take(ReadResult result) {
        if (result instanceof SharedLog.RecordsGone gone) {
            mOut.line("journal-gap").with("from", mPosition).with("to", gone.firstOffset()).write();
            mPosition = Math.max(mPosition, gone.firstOffset());
            return false;
        }
        if (!(result instanceof SharedLog.Records page)) {
            return false;
        }
        mLastReadMs = mClock.nowMs();
        return apply(page);
    }

    private boolean apply(SharedLog.Records page) {
        long first = page.from();
        for (int i = 0; i < page.records().size(); i++) {
            // Two reads may be on their way at a time; what was read already is passed over.
            if (first + i == mPosition) {
                mPosition++;
                apply(page.records().get(i), first + i);
            }
        }
        boolean atEnd = mPosition >= page.end();
        mCaughtUp |= atEnd;
        return atEnd;
    }

    private void apply(byte[] bytes, long offset) {
        mTap.read(offset, bytes);
        try {
            JournalCodec.decode(bytes).ifPresent(r -> mListener.accept(r, mBook.apply(r)));
        } catch (IOException e) {
            mOut.line("journal-record").with("offset", offset).with("error", e).write();
        }
    }
}
