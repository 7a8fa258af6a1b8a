package org.foxtailplank.node.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.JournalPartition;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.SharedLog.WriterEpoch;

/**
 * Writes the owner's records to the journal.
 *
 * <p>Guards against an owner that was paused and goes on writing after another one has taken over:
 * the new owner would not know of a start or an acknowledged end that comes after it has read the
 * journal. A new owner raises the epoch of the owners' writer to its token before it reads; from
 * then on the store itself refuses what an earlier owner writes. One append is on its way at a
 * time; it is repeated with its number until the store has answered, so that none is stored twice.
 *
 * <p>The owner's own records wait for as long as the store is away. Records that other nodes have
 * handed over do not: callers wait for them, and are told at once that the store takes nothing.
 */
final class OwnerJournal {
    private static final String WRITER = "owner";

    /**
     * How long an append goes unanswered before it is sent a second time, in milliseconds, beyond
     * what the store lately took: a pause of this process, some appends of other writers.
     */
    private static final long REPEAT_MS = 120;

    /** Answers of the store, as they lately were, that are waited for on top of that. */
    private static final int REPEAT_ANSWERS = 4;

    /** Pause before an append that the store did not take is repeated, in milliseconds. */
    private static final long RETRY_MS = 100;

    private final OwnerParts mParts;
    private final long mToken;
    private final Runnable mFenced;
    private final Deque<Item> mQueue = new ArrayDeque<>();
    private long mSequence;
    private Optional<Batch> mSent = Optional.empty();
    private long mStoredMs;
    private boolean mEpochRaised;
    private boolean mOver;
    private Consumer<Moment> mWhenStored = sent -> {};

    /** A record, and who waits for what comes of it. */
    private record Item(byte[] bytes, boolean handedOver, Consumer<StoreOutcome> then) {}

    /** Records of one append. */
    private static final class Batch {
        final List<Item> mItems;
        Optional<Moment> mFirstSent = Optional.empty();
        boolean mMaybeStored;
        int mUnanswered;

        Batch(List<Item> items) {
            mItems = new ArrayList<>(items);
        }

        List<byte[]> records() {
            return mItems.stream().map(Item::bytes).toList();
        }
    }

    OwnerJournal(OwnerParts parts, long token, Runnable fenced) {
        mParts = parts;
        mToken = token;
        mFenced = fenced;
        mStoredMs = parts.clock().nowMs();
    }

    /**
     * Tells of each append that is stored under this owner's epoch when it was first sent. The
     * store may answer a repeated append with the answer of its first sending, so that a later
     * sending proves nothing.
     */
    void whenStored(Consumer<Moment> listener) {
        mWhenStored = listener;
    }

    /** Keeps all earlier owners from writing, then goes on. */
    void raiseEpoch(Runnable then) {
        send(new Batch(List.of()), then);
    }

    /** Stores a record of the owner's own, however long it takes. */
    void store(JournalRecord record, Runnable stored) {
        Consumer<StoreOutcome> then =
                o -> {
                    if (o == StoreOutcome.STORED) {
                        stored.run();
                    }
                };
        add(new Item(JournalCodec.encode(record), false, then));
    }

    /** Stores a record of another node's, or says soon that it can't. */
    void storeHandedOver(byte[] record, Consumer<StoreOutcome> then) {
        add(new Item(record, true, then));
    }

    private void add(Item item) {
        if (mOver) {
            item.then().accept(StoreOutcome.NOT_STORED);
            return;
        }
        mQueue.add(item);
        pump();
    }

    /** Writes nothing more; of what was sent nobody knows whether it is stored. */
    void end() {
        mOver = true;
        List<Item> sent = mSent.map(b -> b.mItems).orElse(List.of());
        List<Item> waiting = List.copyOf(mQueue);
        mSent = Optional.empty();
        mQueue.clear();
        sent.forEach(i -> i.then().accept(StoreOutcome.UNKNOWN));
        waiting.forEach(i -> i.then().accept(StoreOutcome.NOT_STORED));
    }

    /** Stores a last record, then runs {@code stored}; nothing is repeated after it. */
    void leave(JournalRecord record, Runnable stored) {
        store(
                record,
                () -> {
                    end();
                    stored.run();
                });
    }

    /** How long ago the store last took a record. */
    long storedMsAgo() {
        return mParts.clock().nowMs() - mStoredMs;
    }

    /** Whether records wait that the store has not taken. */
    boolean isBehind() {
        return !mQueue.isEmpty();
    }

    private void pump() {
        if (mSent.isPresent() || mOver || mQueue.isEmpty()) {
            return;
        }
        Batch batch = new Batch(List.copyOf(mQueue));
        mQueue.clear();
        send(batch, () -> batch.mItems.forEach(i -> i.then().accept(StoreOutcome.STORED)));
    }

    /**
     * Sends a batch, and once more if no answer comes soon. Answers a store that loses answers:
     * everything waits for the owner's append, and the store knows the second one by its number.
     */
    private void send(Batch batch, Runnable stored) {
        mSent = Optional.of(batch);
        sendOnce(batch, stored);
        long late = REPEAT_MS + REPEAT_ANSWERS * mParts.reader().answerMs();
        mParts.timers()
                .after(
                        late,
                        () -> {
                            if (isAwaited(batch) && batch.mUnanswered == 1) {
                                sendOnce(batch, stored);
                            }
                        });
    }

    private void sendOnce(Batch batch, Runnable stored) {
        batch.mUnanswered++;
        batch.mFirstSent = batch.mFirstSent.or(() -> Optional.of(mParts.clock().moment()));
        WriterEpoch writer = new WriterEpoch(WRITER, mToken, mSequence);
        mParts.sharedLog()
                .appendAs(
                        JournalPartition.JOURNAL,
                        writer,
                        batch.records(),
                        r -> answered(batch, stored, r));
    }

    private boolean isAwaited(Batch batch) {
        return !mOver && mSent.isPresent() && mSent.get() == batch;
    }

    private void answered(Batch batch, Runnable stored, AppendResult result) {
        if (!isAwaited(batch)) {
            return;
        }
        batch.mUnanswered--;
        boolean last = result instanceof SharedLog.Stored || result instanceof SharedLog.Fenced;
        if (!last && batch.mUnanswered > 0) {
            // The other one may still be stored.
            batch.mMaybeStored = true;
            return;
        }
        if (result instanceof SharedLog.Stored) {
            mSent = Optional.empty();
            mStoredMs = mParts.clock().nowMs();
            mEpochRaised = true;
            mSequence += batch.mItems.isEmpty() ? 0 : 1;
            batch.mFirstSent.ifPresent(mWhenStored);
            stored.run();
            pump();
            return;
        }
        mParts.log()
                .line("owner-append")
                .with("token", mToken)
                .with("sequence", mSequence)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Fenced) {
            end();
            mFenced.run();
        } else if (result instanceof SharedLog.OutOfSequence expected) {
            mSequence = expected.expected();
            send(batch, stored);
        } else {
            if (result instanceof SharedLog.NotStored) {
                refuseHandedOver(batch);
            } else {
                batch.mMaybeStored = true;
            }
            mParts.timers().after(RETRY_MS, () -> again(batch, stored));
        }
    }

    /**
     * The store refuses: records of other nodes' callers are given back, unless they may be stored
     * already. An answer that is only late says nothing: the nodes would all append by themselves,
     * and make a slow store slower. A batch that may be stored stays as it is, since the store
     * knows it by its number alone.
     */
    private void refuseHandedOver(Batch batch) {
        List<Item> refused = new ArrayList<>();
        takeHandedOver(mQueue, refused);
        if (!batch.mMaybeStored) {
            takeHandedOver(batch.mItems, refused);
        }
        refused.forEach(i -> i.then().accept(StoreOutcome.NOT_STORED));
    }

    private static void takeHandedOver(Collection<Item> from, List<Item> to) {
        from.stream().filter(Item::handedOver).forEach(to::add);
        from.removeIf(Item::handedOver);
    }

    private void again(Batch batch, Runnable stored) {
        if (mOver) {
            return;
        }
        boolean emptied = batch.mItems.isEmpty() && mEpochRaised;
        if (emptied) {
            mSent = Optional.empty();
            pump();
        } else {
            send(batch, stored);
        }
    }
}
