package org.foxtailplank.node.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.owner.JournalBatch.Item;
import org.foxtailplank.port.LogPartition;

/**
 * Writes the owner's records to the journal.
 *
 * <p>Guards against an owner that was paused and goes on writing after another one has taken over:
 * the new owner would not know of a start or an acknowledged end that comes after it has read the
 * journal. A new owner raises the epoch of the owners' writer to its token, in all partitions,
 * before it reads; from then on the store itself refuses what an earlier owner writes.
 *
 * <p>Answers a store that loses single partitions: records go to a spare one while the first takes
 * nothing. What may be stored in one is written to another as well: records are facts, and one that
 * stands in two changes nothing.
 *
 * <p>The owner's own records wait for as long as the store is away. Records that other nodes have
 * handed over do not: callers wait for them, and are told at once that the store takes nothing.
 */
final class OwnerJournal {
    /** Pause before records that the store refused are sent again, in milliseconds. */
    private static final long RETRY_MS = 100;

    private final OwnerParts mParts;
    private final Runnable mFenced;
    private final Deque<Item> mQueue = new ArrayDeque<>();
    private final List<PartitionWriter> mWriters = new ArrayList<>();

    private long mStoredMs;
    private boolean mPausing;
    private boolean mOver;
    private Consumer<Moment> mWhenStored = sent -> {};

    OwnerJournal(OwnerParts parts, long token, Runnable fenced) {
        mParts = parts;
        mFenced = fenced;
        mStoredMs = parts.clock().nowMs();
        Events events = new Events();
        for (LogPartition p : parts.settings().journal().partitions()) {
            mWriters.add(new PartitionWriter(parts, p, token, events));
        }
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
        mWriters.forEach(w -> w.raiseEpoch(() -> raisedOne(then)));
    }

    private void raisedOne(Runnable then) {
        if (mWriters.stream().allMatch(PartitionWriter::isRaised)) {
            then.run();
        }
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
            item.tell(StoreOutcome.NOT_STORED);
            return;
        }
        mQueue.add(item);
        pump();
    }

    /** Writes nothing more; of what was sent nobody knows whether it is stored. */
    void end() {
        mOver = true;
        List<Item> sent = new ArrayList<>();
        mWriters.forEach(w -> sent.addAll(w.end()));
        List<Item> waiting = List.copyOf(mQueue);
        mQueue.clear();
        sent.forEach(i -> i.tell(StoreOutcome.UNKNOWN));
        waiting.forEach(i -> i.tell(StoreOutcome.NOT_STORED));
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

    /**
     * Who takes the next records: the first writer that does not fail, also if it must be waited
     * for; where all fail, any that is free.
     */
    private Optional<PartitionWriter> next() {
        Optional<PartitionWriter> sound = mWriters.stream().filter(w -> !w.isFailing()).findFirst();
        return sound.isPresent()
                ? sound.filter(PartitionWriter::isIdle)
                : mWriters.stream().filter(PartitionWriter::isIdle).findFirst();
    }

    private boolean areAllFailing() {
        return mWriters.stream().allMatch(PartitionWriter::isFailing);
    }

    private void pump() {
        mQueue.removeIf(Item::isTold);
        if (mOver || mPausing || mQueue.isEmpty()) {
            return;
        }
        Optional<PartitionWriter> writer = next();
        if (writer.isPresent()) {
            List<Item> items = List.copyOf(mQueue);
            mQueue.clear();
            writer.get().send(items);
        }
    }

    private final class Events implements PartitionWriter.Events {
        @Override
        public void stored(List<Item> items, Moment firstSent) {
            mStoredMs = mParts.clock().nowMs();
            mWhenStored.accept(firstSent);
            items.forEach(i -> i.tell(StoreOutcome.STORED));
            pump();
        }

        @Override
        public void refused(List<Item> items) {
            takeBack(items);
            if (areAllFailing()) {
                refuseHandedOver();
                pause();
            }
            pump();
        }

        @Override
        public void doubtful(List<Item> items) {
            if (!areAllFailing()) {
                takeBack(items);
                pump();
            }
        }

        @Override
        public void fenced() {
            end();
            mFenced.run();
        }
    }

    /** Queues records again, in their order and before later ones, that nobody was told of. */
    private void takeBack(List<Item> items) {
        for (int i = items.size() - 1; i >= 0; i--) {
            Item item = items.get(i);
            if (!item.isTold() && !mQueue.contains(item)) {
                mQueue.addFirst(item);
            }
        }
    }

    /**
     * All partitions refuse: records of other nodes' callers are given back, unless they may be
     * stored already. An answer that is only late says nothing: the nodes would all append by
     * themselves, and make a slow store slower.
     */
    private void refuseHandedOver() {
        List<Item> refused = mQueue.stream().filter(i -> i.isHandedOver() && !i.isSent()).toList();
        mQueue.removeAll(refused);
        refused.forEach(i -> i.tell(StoreOutcome.NOT_STORED));
    }

    /** Waits a moment before the store is asked again that has just refused. */
    private void pause() {
        mPausing = true;
        mParts.timers()
                .after(
                        RETRY_MS,
                        () -> {
                            mPausing = false;
                            pump();
                        });
    }
}
