package org.foxtailplank.node.journal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord;
import org.foxtailplank.node.Clock;
import org.foxtailplank.node.NodeSettings;
import org.foxtailplank.node.Timers;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.schedule.UnstoredJob;

/**
 * Writes records to the journal. Records that arrive while appends are in flight are batched.
 *
 * <p>An append whose response was lost is retried; duplicates are harmless, since applying a record
 * is idempotent. A record that may have been stored is never reported as not stored.
 *
 * <p>Records are handed over to the owner, which batches those of all nodes; a node appends by
 * itself only if no owner is available. This avoids contention on a slow store, which serializes
 * the appends to a partition, and lets nodes that the store rejects still accept jobs.
 */
public final class JournalWriter {
    /** Maximum number of concurrent appends: the next one is sent while the store handles one. */
    private static final int MAX_IN_FLIGHT = 2;

    /**
     * Interval at which a handed-over record checks that the owner is available, in milliseconds.
     */
    private static final long HANDOVER_CHECK_MS = 250;

    /** Pause before a failed append is retried, in milliseconds. */
    private static final long RETRY_MS = 100;

    /** Size at which a batch is closed, in bytes. */
    private static final int MAX_BATCH_BYTES = 256 << 10;

    private final SharedLog mLog;
    private final LogPartition mPartition;
    private final Handover mHandover;
    private final Clock mClock;
    private final Timers mTimers;
    private final NodeLog mNodeLog;
    private final Deque<PendingRecord> mQueue = new ArrayDeque<>();
    private int mInFlight;
    private int mRetrying;
    private boolean mStoreFailing;
    private BooleanSupplier mCutOff = () -> false;
    private int mMaxRecordBytes = NodeSettings.JournalLimits.DEFAULT_RECORD_BYTES;

    private static final class PendingRecord {
        final byte[] mBytes;
        final long mDeadlineMs;
        final Consumer<StoreOutcome> mCallback;
        boolean mMayBeStored;
        boolean mHandedOver;
        boolean mAwaitingOwner;

        PendingRecord(byte[] bytes, long deadlineMs, Consumer<StoreOutcome> callback) {
            mBytes = bytes;
            mDeadlineMs = deadlineMs;
            mCallback = callback;
        }
    }

    /**
     * Creates a writer for a partition.
     *
     * @param handover hands records over to the owner
     */
    public JournalWriter(
            SharedLog log,
            LogPartition partition,
            Handover handover,
            Clock clock,
            Timers timers,
            NodeLog nodeLog) {
        mLog = log;
        mPartition = partition;
        mHandover = handover;
        mClock = clock;
        mTimers = timers;
        mNodeLog = nodeLog;
    }

    /**
     * Sets the condition under which this node reaches neither the store nor the owner. A record
     * that may be stored is then reported as such at once, so that its caller asks another node.
     */
    public void setCutOffCondition(BooleanSupplier condition) {
        mCutOff = condition;
    }

    /** Sets the size of the largest record that the store accepts, in bytes. */
    public void setMaxRecordBytes(int maxRecordBytes) {
        mMaxRecordBytes = maxRecordBytes;
    }

    /** Whether the store accepts a record of this size. */
    public boolean isStorable(JournalRecord record) {
        return JournalCodec.encode(record).length <= mMaxRecordBytes;
    }

    /**
     * Stores a record. A rejection by the store is reported immediately; retries end at the
     * deadline. While the store fails, only one record at a time is attempted and all others fail
     * fast, so that their callers can try another node.
     */
    public void store(JournalRecord record, long deadlineMs, Consumer<StoreOutcome> callback) {
        PendingRecord pending =
                new PendingRecord(JournalCodec.encode(record), deadlineMs, callback);
        if (mHandover.isAvailable()) {
            handOver(pending);
        } else if (mStoreFailing && mInFlight + mRetrying > 0) {
            callback.accept(StoreOutcome.NOT_STORED);
        } else {
            enqueue(pending);
        }
    }

    /** Reports to the owner that a submission was rejected since it couldn't be stored. */
    public void reportUnstored(UnstoredJob job) {
        mHandover.reportUnstored(job);
    }

    private void handOver(PendingRecord pending) {
        pending.mHandedOver = true;
        pending.mAwaitingOwner = true;
        mHandover.handOver(pending.mBytes, o -> handoverAnswered(pending, o));
        mTimers.after(HANDOVER_CHECK_MS, () -> checkOwner(pending));
    }

    /** Stops waiting for an owner that is unavailable or won't answer before the deadline. */
    private void checkOwner(PendingRecord pending) {
        boolean late = mClock.nowMs() + HANDOVER_CHECK_MS > pending.mDeadlineMs;
        if (late || !mHandover.isAvailable()) {
            handoverAnswered(pending, StoreOutcome.UNKNOWN);
        } else if (pending.mAwaitingOwner) {
            mTimers.after(HANDOVER_CHECK_MS, () -> checkOwner(pending));
        }
    }

    private void handoverAnswered(PendingRecord pending, StoreOutcome outcome) {
        if (!pending.mAwaitingOwner) {
            return;
        }
        pending.mAwaitingOwner = false;
        if (outcome == StoreOutcome.STORED) {
            pending.mCallback.accept(outcome);
            return;
        }
        mNodeLog.line("handover").with("outcome", outcome).write();
        pending.mMayBeStored |= outcome == StoreOutcome.UNKNOWN;
        // The caller of a refused job was told that it never runs: this node must not append it.
        if (outcome != StoreOutcome.REFUSED && mClock.nowMs() < pending.mDeadlineMs) {
            enqueue(pending);
        } else {
            complete(pending);
        }
    }

    private void enqueue(PendingRecord pending) {
        mQueue.add(pending);
        sendBatches();
    }

    private void sendBatches() {
        while (mInFlight < MAX_IN_FLIGHT && !mQueue.isEmpty()) {
            List<PendingRecord> batch = takeBatch();
            List<byte[]> records = new ArrayList<>(batch.size());
            batch.forEach(b -> records.add(b.mBytes));
            mInFlight++;
            mLog.append(mPartition, records, r -> appendAnswered(batch, r));
        }
    }

    private List<PendingRecord> takeBatch() {
        List<PendingRecord> batch = new ArrayList<>();
        int bytes = 0;
        while (!mQueue.isEmpty() && bytes < MAX_BATCH_BYTES) {
            PendingRecord next = mQueue.poll();
            bytes += next.mBytes.length;
            batch.add(next);
        }
        return batch;
    }

    private void appendAnswered(List<PendingRecord> batch, AppendResult result) {
        mInFlight--;
        if (result instanceof SharedLog.Stored) {
            mStoreFailing = false;
            batch.forEach(b -> b.mCallback.accept(StoreOutcome.STORED));
            sendBatches();
            return;
        }
        mNodeLog.line("append").with("outcome", result).with("records", batch.size()).write();
        mStoreFailing = true;
        boolean mayBeStored =
                !(result instanceof SharedLog.NotStored
                        || result instanceof SharedLog.Unacceptable);
        for (PendingRecord r : batch) {
            r.mMayBeStored |= mayBeStored;
            retryOrComplete(r);
        }
        sendBatches();
    }

    private void retryOrComplete(PendingRecord pending) {
        boolean expired = mClock.nowMs() >= pending.mDeadlineMs;
        if (!expired && !pending.mHandedOver && mHandover.isAvailable()) {
            handOver(pending);
            return;
        }
        if (!expired && pending.mMayBeStored && !mCutOff.getAsBoolean()) {
            mRetrying++;
            mTimers.after(
                    RETRY_MS,
                    () -> {
                        mRetrying--;
                        enqueue(pending);
                    });
            return;
        }
        complete(pending);
    }

    private static void complete(PendingRecord pending) {
        pending.mCallback.accept(
                pending.mMayBeStored ? StoreOutcome.UNKNOWN : StoreOutcome.NOT_STORED);
    }
}
