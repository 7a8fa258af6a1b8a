package org.foxtailplank.node.owner;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.owner.JournalBatch.PendingRecord;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.SharedLog.WriterEpoch;

/**
 * Appends the owner's records to one partition of the journal.
 *
 * <p>One append is in flight at a time. An append that may be stored is repeated unchanged, with
 * the same sequence number, until the store answers, so that no record is stored twice in this
 * partition. Rejected records are handed to {@link Listener#rejected}.
 */
final class PartitionWriter {
    private static final String WRITER = "owner";

    /**
     * How long to wait for an answer before an append is sent again, in milliseconds, in addition
     * to the store's current latency and the time that the link takes. Covers a pause of this
     * process and some appends of other writers. After twice the total the partition is considered
     * failing.
     */
    private static final long RESEND_DELAY_MS = 120;

    /** Multiple of the store's current latency that is added to the resend delay. */
    private static final int RESEND_LATENCY_FACTOR = 4;

    /**
     * Multiple of the time that the whole link takes for an append, which shares it with other
     * traffic. Sending an append again while it is on its way would only delay it further.
     */
    private static final int RESEND_TRANSFER_FACTOR = 4;

    /** Delay before an append that was not stored is repeated, in milliseconds. */
    private static final long RETRY_DELAY_MS = 100;

    /** How often a failing partition is probed with an empty append, in milliseconds. */
    private static final long PROBE_INTERVAL_MS = 300;

    private final OwnerContext mContext;
    private final LogPartition mPartition;
    private final long mToken;
    private final Listener mListener;

    private long mSequence;
    private Optional<JournalBatch> mInFlight = Optional.empty();

    /** Position of this node's reader when the append in flight was first sent. */
    private long mSentAtPosition;

    private boolean mFailing;
    private boolean mClosed;
    private Optional<Runnable> mOnEpochRaised = Optional.empty();
    private boolean mEpochRaised;

    /** Receives the outcomes of appends. */
    interface Listener {
        /** The append is stored; the writer is idle. */
        void stored(List<PendingRecord> records, ClockReading firstSent);

        /** The store rejected the append and will not store it; the writer is idle. */
        void rejected(List<PendingRecord> records);

        /** The store will never accept this append; the writer is idle. */
        void unacceptable(List<PendingRecord> records, String reason);

        /** The append may be stored, now or later; the writer keeps repeating it. */
        void outcomeUnknown(List<PendingRecord> records);

        /** A later owner has raised the epoch. */
        void fenced();
    }

    PartitionWriter(OwnerContext context, LogPartition partition, long token, Listener listener) {
        mContext = context;
        mPartition = partition;
        mToken = token;
        mListener = listener;
    }

    /** Raises the epoch in this partition, retrying until it succeeds. */
    void raiseEpoch(Runnable callback) {
        mOnEpochRaised = Optional.of(callback);
        send(List.of());
    }

    boolean isEpochRaised() {
        return mEpochRaised;
    }

    /** Whether an append can be sent. */
    boolean isIdle() {
        return mInFlight.isEmpty() && mOnEpochRaised.isEmpty();
    }

    /** Whether the last append was rejected or has timed out. */
    boolean isFailing() {
        return mFailing;
    }

    /** Sends an append; the writer must be idle. */
    void send(List<PendingRecord> records) {
        JournalBatch batch = new JournalBatch(records);
        mInFlight = Optional.of(batch);
        mSentAtPosition = mContext.reader().position(mPartition.number());
        sendWithTimeout(batch);
    }

    /** Stops sending; returns the records in flight. */
    List<PendingRecord> close() {
        mClosed = true;
        List<PendingRecord> sent = mInFlight.map(JournalBatch::records).orElse(List.of());
        mInFlight = Optional.empty();
        return sent;
    }

    private void sendWithTimeout(JournalBatch batch) {
        sendOnce(batch);
        long transferMs = mContext.settings().link().transferMs(batch.byteCount());
        long delayMs =
                RESEND_DELAY_MS
                        + RESEND_LATENCY_FACTOR * mContext.reader().latencyMs()
                        + RESEND_TRANSFER_FACTOR * transferMs;
        mContext.timers().after(delayMs, () -> resendIfUnanswered(batch));
        mContext.timers().after(2 * delayMs, () -> handleTimeout(batch));
    }

    /**
     * Sends an unanswered append a second time, since its answer may be lost and all later records
     * wait for it. The store recognises the repetition by its sequence number.
     */
    private void resendIfUnanswered(JournalBatch batch) {
        if (isInFlight(batch) && batch.unansweredSends() == 1) {
            sendOnce(batch);
        }
    }

    /** Treats the append's outcome as unknown if sends are still unanswered. */
    private void handleTimeout(JournalBatch batch) {
        if (isInFlight(batch) && batch.unansweredSends() > 0) {
            handleUnknown(batch);
        }
    }

    private void sendOnce(JournalBatch batch) {
        batch.recordSend(mContext.clock().moment());
        WriterEpoch writer = new WriterEpoch(WRITER, mToken, mSequence);
        mContext.sharedLog()
                .appendAs(mPartition, writer, batch.bytes(), r -> handleResult(batch, r));
    }

    private boolean isInFlight(JournalBatch batch) {
        return !mClosed && mInFlight.isPresent() && mInFlight.get() == batch;
    }

    private void handleResult(JournalBatch batch, AppendResult result) {
        if (!isInFlight(batch)) {
            return;
        }
        int unanswered = batch.recordAnswer();
        boolean conclusive =
                result instanceof SharedLog.Stored || result instanceof SharedLog.Fenced;
        if (!conclusive && unanswered > 0) {
            // The other send may still be stored.
            batch.markMaybeStored();
            return;
        }
        if (result instanceof SharedLog.Stored stored) {
            logIfBehind(batch, stored);
            List<byte[]> records = batch.bytes();
            mContext.reader().applyStored(mPartition.number(), stored.firstOffset(), records);
            handleStored(batch);
            return;
        }
        mContext.log()
                .line("owner-append")
                .with("token", mToken)
                .with("partition", mPartition.number())
                .with("sequence", mSequence)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Fenced) {
            mListener.fenced();
        } else if (result instanceof SharedLog.OutOfSequence expected) {
            mSequence = expected.expected();
            sendWithTimeout(batch);
        } else if (result instanceof SharedLog.Unacceptable refusal
                && !batch.isMaybeStored()
                && !batch.isEmpty()) {
            mInFlight = Optional.empty();
            batch.release();
            mListener.unacceptable(batch.records(), refusal.reason());
        } else if (result instanceof SharedLog.NotStored && !batch.isMaybeStored()) {
            handleRejected(batch);
        } else {
            handleUnknown(batch);
            mContext.timers().after(RETRY_DELAY_MS, () -> retry(batch));
        }
    }

    /** Logs an answer whose offset had been read before the append was sent: it is for another. */
    private void logIfBehind(JournalBatch batch, SharedLog.Stored stored) {
        if (batch.isEmpty() || stored.firstOffset() >= mSentAtPosition) {
            return;
        }
        mContext.log()
                .line("append-behind")
                .with("token", mToken)
                .with("partition", mPartition.number())
                .with("sequence", mSequence)
                .with("offset", stored.firstOffset())
                .with("position", mSentAtPosition)
                .write();
    }

    private void handleStored(JournalBatch batch) {
        mInFlight = Optional.empty();
        setFailing(false);
        mSequence += batch.isEmpty() ? 0 : 1;
        batch.release();
        Optional<Runnable> onRaised = mOnEpochRaised;
        mOnEpochRaised = Optional.empty();
        mEpochRaised = true;
        mListener.stored(batch.records(), batch.firstSentAt());
        onRaised.ifPresent(Runnable::run);
    }

    private void handleRejected(JournalBatch batch) {
        setFailing(true);
        if (mOnEpochRaised.isPresent()) {
            mContext.timers().after(RETRY_DELAY_MS, () -> retry(batch));
            return;
        }
        mInFlight = Optional.empty();
        batch.release();
        mListener.rejected(batch.records());
    }

    private void handleUnknown(JournalBatch batch) {
        batch.markMaybeStored();
        setFailing(true);
        if (batch.markRerouted()) {
            mListener.outcomeUnknown(batch.records());
        }
    }

    private void retry(JournalBatch batch) {
        if (isInFlight(batch) && batch.unansweredSends() == 0) {
            sendWithTimeout(batch);
        }
    }

    private void setFailing(boolean failing) {
        if (failing == mFailing) {
            return;
        }
        mFailing = failing;
        mContext.log()
                .line("journal-partition")
                .with("token", mToken)
                .with("partition", mPartition.number())
                .with("failing", failing)
                .write();
        if (failing) {
            mContext.timers().after(PROBE_INTERVAL_MS, this::probe);
        }
    }

    /** Probes a failing partition with an empty append, which stores nothing. */
    private void probe() {
        if (mClosed || !mFailing) {
            return;
        }
        if (isIdle()) {
            send(List.of());
        }
        mContext.timers().after(PROBE_INTERVAL_MS, this::probe);
    }
}
