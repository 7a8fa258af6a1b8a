package org.foxtailplank.node.owner;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.NodeSettings.JournalLimits;
import org.foxtailplank.node.journal.JournalPartitions;
import org.foxtailplank.node.journal.RecordParts;
import org.foxtailplank.node.journal.StoreOutcome;
import org.foxtailplank.node.owner.JournalBatch.PendingRecord;
import org.foxtailplank.port.LogPartition;

/**
 * Writes the owner's records to the journal.
 *
 * <p>A paused owner that resumes after a takeover must not write anything: its successor, which has
 * already read the journal, would miss a start or an acknowledged end. A new owner therefore raises
 * the epoch of the owners' writer to its token in all partitions before it reads; the store then
 * rejects appends of earlier owners.
 *
 * <p>If a partition fails, records go to another one. A record that may be stored in one partition
 * is written to another as well; records are idempotent facts, so duplicates are harmless.
 *
 * <p>The owner's own records wait until the store is available. Records handed over by other nodes
 * have callers waiting and fail at once when all partitions reject appends.
 */
final class OwnerJournal {
    /** Delay before rejected records are sent again, in milliseconds. */
    private static final long RETRY_DELAY_MS = 100;

    /**
     * Longest time that an append may take on the owner's whole link, in milliseconds. A larger one
     * would not be stored before its timeout on a link that is full, and never if records that wait
     * for it join it.
     */
    private static final long MAX_TRANSFER_MS = 100;

    /** Bytes that an append may have on any link. */
    private static final long MIN_BATCH_BYTES = 4 << 10;

    /** An epoch after those of all owners. */
    private static final long LAST_EPOCH = 1L << 40;

    private final OwnerContext mContext;
    private final Runnable mOnFenced;
    private final long mMaxBatchBytes;
    private final int mRecordBytes;
    private final Deque<PendingRecord> mQueue = new ArrayDeque<>();
    private final List<PartitionWriter> mWriters = new ArrayList<>();

    private long mLastStoredMs;
    private boolean mPaused;

    /** Appends to be sent with a single record, to find the one that the store doesn't accept. */
    private int mSingleAppends;

    private boolean mClosed;
    private Consumer<ClockReading> mStoredListener = sent -> {};

    OwnerJournal(OwnerContext context, long token, Runnable onFenced) {
        mContext = context;
        mOnFenced = onFenced;
        long linkBytes =
                Math.max(MIN_BATCH_BYTES, context.settings().link().bytesIn(MAX_TRANSFER_MS));
        mMaxBatchBytes = Math.min(linkBytes, context.settings().journal().appendBytes());
        mRecordBytes = context.settings().journal().recordBytes();
        mLastStoredMs = context.clock().nowMs();
        WriterListener listener = new WriterListener();
        for (LogPartition p : context.settings().journal().partitions()) {
            mWriters.add(new PartitionWriter(context, p, token, listener));
        }
    }

    /**
     * Sets the listener for each append stored under this owner's epoch, which receives the time of
     * its first send. The store may answer a repeated append with the result of the first one, so a
     * later send proves nothing.
     */
    void setStoredListener(Consumer<ClockReading> listener) {
        mStoredListener = listener;
    }

    /**
     * Raises the epoch in all partitions, so that earlier owners can't write, then runs {@code
     * then}.
     */
    void raiseEpoch(Runnable callback) {
        List<PartitionWriter> writers = new ArrayList<>(mWriters);
        if (mContext.reader().hasEarlierJournal()) {
            // Owners of earlier versions don't know this journal and must never start again.
            JournalLimits limits = mContext.settings().journal();
            for (LogPartition p : JournalPartitions.earlier(limits.partitionCount())) {
                writers.add(
                        new PartitionWriter(mContext, p, LAST_EPOCH, new EarlierWriterListener()));
            }
        }
        writers.forEach(w -> w.raiseEpoch(() -> runIfEpochRaised(writers, callback)));
    }

    private static void runIfEpochRaised(List<PartitionWriter> writers, Runnable callback) {
        if (writers.stream().allMatch(PartitionWriter::isEpochRaised)) {
            callback.run();
        }
    }

    /** Listens to a writer that only raises the epoch. */
    private final class EarlierWriterListener implements PartitionWriter.Listener {
        @Override
        public void stored(List<PendingRecord> records, ClockReading firstSent) {}

        @Override
        public void rejected(List<PendingRecord> records) {}

        @Override
        public void unacceptable(List<PendingRecord> records, String reason) {}

        @Override
        public void outcomeUnknown(List<PendingRecord> records) {}

        @Override
        public void fenced() {}
    }

    /**
     * Stores a record of the owner itself, in parts if it is too large for the store, retrying
     * until it succeeds or the journal is closed.
     */
    void store(JournalRecord record, Runnable stored) {
        store(record, stored, () -> {});
    }

    /**
     * The same; {@code closed} runs if the journal is closed before the record is stored, or the
     * store doesn't accept it.
     */
    void store(JournalRecord record, Runnable stored, Runnable closed) {
        List<byte[]> parts = RecordParts.encode(record, mRecordBytes);
        int[] unstored = {parts.size()};
        Consumer<StoreOutcome> callback =
                o -> {
                    boolean last = o == StoreOutcome.STORED && --unstored[0] == 0;
                    if (last) {
                        stored.run();
                    } else if (o != StoreOutcome.STORED && unstored[0] > 0) {
                        unstored[0] = 0;
                        closed.run();
                    }
                };
        List<PendingRecord> records = new ArrayList<>();
        parts.forEach(p -> records.add(new PendingRecord(p, false, callback)));
        enqueue(records);
    }

    /**
     * Stores a record in one partition only, which may be unavailable for long.
     *
     * @param partition number of the partition
     * @param completed runs when the record is stored, or the journal is closed
     */
    void storeIn(int partition, byte[] record, Runnable completed) {
        PartitionWriter writer = mWriters.get(partition);
        enqueue(List.of(PendingRecord.onlyBy(writer, record, o -> completed.run())));
    }

    /** Stores a record handed over by another node; fails fast if all partitions reject it. */
    void storeHandedOver(byte[] record, Consumer<StoreOutcome> callback) {
        enqueue(List.of(new PendingRecord(record, true, callback)));
    }

    private void enqueue(List<PendingRecord> records) {
        if (mClosed) {
            records.forEach(r -> r.complete(StoreOutcome.NOT_STORED));
            return;
        }
        mQueue.addAll(records);
        sendPending();
    }

    /**
     * Stops writing. Records in flight get {@link StoreOutcome#UNKNOWN}, unsent ones {@link
     * StoreOutcome#NOT_STORED}.
     */
    void close() {
        mClosed = true;
        List<PendingRecord> sent = new ArrayList<>();
        mWriters.forEach(w -> sent.addAll(w.close()));
        List<PendingRecord> waiting = List.copyOf(mQueue);
        mQueue.clear();
        sent.forEach(r -> r.complete(StoreOutcome.UNKNOWN));
        waiting.forEach(r -> r.complete(StoreOutcome.NOT_STORED));
    }

    /** Stores a last record, then closes the journal and runs {@code stored}. */
    void storeLast(JournalRecord record, Runnable stored) {
        store(
                record,
                () -> {
                    close();
                    stored.run();
                });
    }

    /** Time since the store last accepted a record, in milliseconds. */
    long storedMsAgo() {
        return mContext.clock().nowMs() - mLastStoredMs;
    }

    /** Whether records are waiting to be sent. */
    boolean hasPendingRecords() {
        return !mQueue.isEmpty();
    }

    /**
     * Selects the writer for the next records: the first that is not failing, even if it must be
     * waited for, or any idle one if all are failing.
     */
    private Optional<PartitionWriter> selectWriter() {
        Optional<PartitionWriter> healthy =
                mWriters.stream().filter(w -> !w.isFailing()).findFirst();
        return healthy.isPresent()
                ? healthy.filter(PartitionWriter::isIdle)
                : mWriters.stream().filter(PartitionWriter::isIdle).findFirst();
    }

    private boolean areAllFailing() {
        return mWriters.stream().allMatch(PartitionWriter::isFailing);
    }

    private void sendPending() {
        mQueue.removeIf(PendingRecord::isCompleted);
        if (mClosed || mPaused || mQueue.isEmpty()) {
            return;
        }
        Optional<PartitionWriter> selected = selectWriter();
        selected.ifPresent(w -> sendBatch(w, r -> !r.isBound() || r.isBoundTo(w)));
        mWriters.stream()
                .filter(w -> w.isIdle() && !w.isFailing())
                .forEach(w -> sendBatch(w, r -> r.isBoundTo(w)));
    }

    private void sendBatch(PartitionWriter writer, Predicate<PendingRecord> mayAppend) {
        List<PendingRecord> batch = takeBatch(mayAppend);
        if (!batch.isEmpty()) {
            writer.send(batch);
        }
    }

    /**
     * Takes the first records that may be appended from the queue, at least one if there is one.
     */
    private List<PendingRecord> takeBatch(Predicate<PendingRecord> mayAppend) {
        int maxRecords = mSingleAppends > 0 ? 1 : Integer.MAX_VALUE;
        List<PendingRecord> batch = new ArrayList<>();
        long bytes = 0;
        Iterator<PendingRecord> queued = mQueue.iterator();
        while (queued.hasNext() && batch.size() < maxRecords) {
            PendingRecord next = queued.next();
            if (!mayAppend.test(next)) {
                continue;
            }
            bytes += next.byteCount();
            if (bytes > mMaxBatchBytes && !batch.isEmpty()) {
                break;
            }
            queued.remove();
            batch.add(next);
        }
        if (mSingleAppends > 0 && !batch.isEmpty()) {
            mSingleAppends--;
        }
        return batch;
    }

    private final class WriterListener implements PartitionWriter.Listener {
        @Override
        public void stored(List<PendingRecord> records, ClockReading firstSent) {
            mLastStoredMs = mContext.clock().nowMs();
            mStoredListener.accept(firstSent);
            records.forEach(r -> r.complete(StoreOutcome.STORED));
            sendPending();
        }

        @Override
        public void rejected(List<PendingRecord> records) {
            requeue(records);
            if (areAllFailing()) {
                rejectHandedOver();
                pause();
            }
            sendPending();
        }

        @Override
        public void unacceptable(List<PendingRecord> records, String reason) {
            if (records.size() > 1) {
                requeue(records);
                mSingleAppends = records.size();
            } else {
                for (PendingRecord r : records) {
                    mContext.log()
                            .line("record-unacceptable")
                            .with("bytes", r.byteCount())
                            .with("handedOver", r.isHandedOver())
                            .with("why", reason)
                            .write();
                    r.complete(StoreOutcome.NOT_STORED);
                }
            }
            sendPending();
        }

        @Override
        public void outcomeUnknown(List<PendingRecord> records) {
            if (!areAllFailing()) {
                requeue(records.stream().filter(r -> !r.isBound()).toList());
                sendPending();
            }
        }

        @Override
        public void fenced() {
            close();
            mOnFenced.run();
        }
    }

    /** Puts records that are not completed back at the head of the queue, in order. */
    private void requeue(List<PendingRecord> records) {
        for (int i = records.size() - 1; i >= 0; i--) {
            PendingRecord record = records.get(i);
            if (!record.isCompleted() && !mQueue.contains(record)) {
                mQueue.addFirst(record);
            }
        }
    }

    /**
     * Rejects handed-over records when all partitions refuse, unless they may already be stored. A
     * late answer is no reason to reject: every node would then append on its own and slow the
     * store down further.
     */
    private void rejectHandedOver() {
        List<PendingRecord> rejected =
                mQueue.stream().filter(r -> r.isHandedOver() && !r.isInAppend()).toList();
        mQueue.removeAll(rejected);
        rejected.forEach(r -> r.complete(StoreOutcome.NOT_STORED));
    }

    /** Delays the next append after all partitions refused. */
    private void pause() {
        mPaused = true;
        mContext.timers()
                .after(
                        RETRY_DELAY_MS,
                        () -> {
                            mPaused = false;
                            sendPending();
                        });
    }
}
