package org.foxtailplank.node.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;

/**
 * Writes records to the journal, those that come while an append is on its way together.
 *
 * <p>An append whose answer was lost is sent again: every record of the journal may stand there
 * twice without harm, since a job's ID or a run's number decides. A record whose first append may
 * have been carried out is never reported as not stored.
 *
 * <p>Records are handed over to the owner, which writes those of all nodes in one append; only
 * where there is no owner to be reached that can store, the node appends by itself. Answers a slow
 * store: it takes one append of a partition after the other, a third of a second for each, and ten
 * nodes with appends of their own hold each other up for seconds. Answers a store that turns some
 * nodes away: their callers needn't ask elsewhere.
 */
public final class JournalWriter {
    /** Appends on their way at a time: one is in the store while the next is on the network. */
    private static final int MAX_IN_FLIGHT = 2;

    /** How often to look whether the owner can still be expected to answer, in milliseconds. */
    private static final long HANDOVER_CHECK_MS = 250;

    /** Pause before a refused append is sent again, in milliseconds. */
    private static final long RETRY_MS = 100;

    /** Largest batch, in bytes: a fraction of what one call may hold. */
    private static final int MAX_BATCH_BYTES = 256 << 10;

    private final SharedLog mLog;
    private final LogPartition mPartition;
    private final Handover mHandover;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mOut;
    private final Deque<Item> mQueue = new ArrayDeque<>();
    private int mInFlight;
    private int mRetrying;
    private boolean mFailing;

    private static final class Item {
        final byte[] mBytes;
        final long mDeadlineMs;
        final Consumer<StoreOutcome> mThen;
        boolean mMaybe;
        boolean mHandedOver;
        boolean mAwaitsOwner;

        Item(byte[] bytes, long deadlineMs, Consumer<StoreOutcome> then) {
            mBytes = bytes;
            mDeadlineMs = deadlineMs;
            mThen = then;
        }
    }

    /**
     * A writer for a partition.
     *
     * @param handover the way through the owner
     */
    public JournalWriter(
            SharedLog log,
            LogPartition partition,
            Handover handover,
            Clock clock,
            Timers timers,
            NodeLog out) {
        mLog = log;
        mPartition = partition;
        mHandover = handover;
        mClock = clock;
        mTimers = timers;
        mOut = out;
    }

    /**
     * Stores a record; a refusal of the store ends the try at once, the deadline at the latest.
     * While the store fails, one record at a time is tried and all others are refused at once: they
     * would wait for their deadlines only to learn that nothing was stored.
     */
    public void store(JournalRecord record, long deadlineMs, Consumer<StoreOutcome> then) {
        Item item = new Item(JournalCodec.encode(record), deadlineMs, then);
        if (mHandover.isOpen()) {
            handOver(item);
        } else if (mFailing && mInFlight + mRetrying > 0) {
            then.accept(StoreOutcome.NOT_STORED);
        } else {
            add(item);
        }
    }

    private void handOver(Item item) {
        item.mHandedOver = true;
        item.mAwaitsOwner = true;
        mHandover.handOver(item.mBytes, o -> handedOver(item, o));
        mTimers.after(HANDOVER_CHECK_MS, () -> checkOwner(item));
    }

    /** Gives the owner up that can't store any more, or not in time for the caller. */
    private void checkOwner(Item item) {
        boolean late = mClock.nowMs() + HANDOVER_CHECK_MS > item.mDeadlineMs;
        if (late || !mHandover.isOpen()) {
            handedOver(item, StoreOutcome.UNKNOWN);
        } else if (item.mAwaitsOwner) {
            mTimers.after(HANDOVER_CHECK_MS, () -> checkOwner(item));
        }
    }

    private void handedOver(Item item, StoreOutcome outcome) {
        if (!item.mAwaitsOwner) {
            return;
        }
        item.mAwaitsOwner = false;
        if (outcome == StoreOutcome.STORED) {
            item.mThen.accept(outcome);
            return;
        }
        mOut.line("handover").with("outcome", outcome).write();
        item.mMaybe |= outcome == StoreOutcome.UNKNOWN;
        if (mClock.nowMs() < item.mDeadlineMs) {
            add(item);
        } else {
            end(item);
        }
    }

    private void add(Item item) {
        mQueue.add(item);
        pump();
    }

    private void pump() {
        while (mInFlight < MAX_IN_FLIGHT && !mQueue.isEmpty()) {
            List<Item> batch = takeBatch();
            List<byte[]> records = new ArrayList<>(batch.size());
            batch.forEach(i -> records.add(i.mBytes));
            mInFlight++;
            mLog.append(mPartition, records, r -> answered(batch, r));
        }
    }

    private List<Item> takeBatch() {
        List<Item> batch = new ArrayList<>();
        int bytes = 0;
        while (!mQueue.isEmpty() && bytes < MAX_BATCH_BYTES) {
            Item next = mQueue.poll();
            bytes += next.mBytes.length;
            batch.add(next);
        }
        return batch;
    }

    private void answered(List<Item> batch, AppendResult result) {
        mInFlight--;
        if (result instanceof SharedLog.Stored) {
            mFailing = false;
            batch.forEach(i -> i.mThen.accept(StoreOutcome.STORED));
            pump();
            return;
        }
        mOut.line("append").with("outcome", result).with("records", batch.size()).write();
        mFailing = true;
        boolean maybe = !(result instanceof SharedLog.NotStored);
        for (Item i : batch) {
            i.mMaybe |= maybe;
            retryOrEnd(i);
        }
        pump();
    }

    private void retryOrEnd(Item item) {
        boolean over = mClock.nowMs() >= item.mDeadlineMs;
        if (!over && !item.mHandedOver && mHandover.isOpen()) {
            handOver(item);
            return;
        }
        if (!over && item.mMaybe) {
            mRetrying++;
            mTimers.after(
                    RETRY_MS,
                    () -> {
                        mRetrying--;
                        add(item);
                    });
            return;
        }
        end(item);
    }

    private static void end(Item item) {
        item.mThen.accept(item.mMaybe ? StoreOutcome.UNKNOWN : StoreOutcome.NOT_STORED);
    }
}
