package org.foxtailplank.node.owner;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.node.owner.JournalBatch.Item;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.SharedLog.AppendResult;
import org.foxtailplank.port.SharedLog.WriterEpoch;

/**
 * An owner's appends to one partition of the journal.
 *
 * <p>One append is on its way at a time. One that may be stored is repeated as it is, with its
 * number, until the store has answered, so that none is stored twice in this partition; one that
 * was refused is given back.
 */
final class PartitionWriter {
    private static final String WRITER = "owner";

    /**
     * How long an append goes unanswered before it is sent a second time, in milliseconds, beyond
     * what the store lately took: a pause of this process, some appends of other writers. After
     * twice that the partition is taken for failing.
     */
    private static final long REPEAT_MS = 120;

    /** Answers of the store, as they lately were, that are waited for on top of that. */
    private static final int REPEAT_ANSWERS = 4;

    /** Pause before an append that the store did not take is repeated, in milliseconds. */
    private static final long RETRY_MS = 100;

    /** How often a failing partition is tried with an empty append, in milliseconds. */
    private static final long PROBE_MS = 300;

    private final OwnerParts mParts;
    private final LogPartition mPartition;
    private final long mToken;
    private final Events mEvents;

    private long mSequence;
    private Optional<JournalBatch> mSent = Optional.empty();
    private boolean mFailing;
    private boolean mOver;
    private Optional<Runnable> mWhenRaised = Optional.empty();
    private boolean mRaised;

    /** Is told what becomes of appends. */
    interface Events {
        /** An append is stored; the writer is free. */
        void stored(List<Item> items, Moment firstSent);

        /** The store refuses, and will not store these; the writer is free. */
        void refused(List<Item> items);

        /** These may be stored, now or later; the writer goes on with them. */
        void doubtful(List<Item> items);

        /** A later owner writes. */
        void fenced();
    }

    PartitionWriter(OwnerParts parts, LogPartition partition, long token, Events events) {
        mParts = parts;
        mPartition = partition;
        mToken = token;
        mEvents = events;
    }

    /** Keeps all earlier owners from writing here; tries until it succeeds. */
    void raiseEpoch(Runnable then) {
        mWhenRaised = Optional.of(then);
        send(List.of());
    }

    boolean isRaised() {
        return mRaised;
    }

    /** Whether an append can be sent. */
    boolean isIdle() {
        return mSent.isEmpty() && mWhenRaised.isEmpty();
    }

    /** Whether the last append was refused, or is unanswered for long. */
    boolean isFailing() {
        return mFailing;
    }

    /** Sends an append; the writer must be idle. */
    void send(List<Item> items) {
        JournalBatch batch = new JournalBatch(items);
        mSent = Optional.of(batch);
        sendFirst(batch);
    }

    /** Sends nothing more; returns what is on its way. */
    List<Item> end() {
        mOver = true;
        List<Item> sent = mSent.map(JournalBatch::items).orElse(List.of());
        mSent = Optional.empty();
        return sent;
    }

    private void sendFirst(JournalBatch batch) {
        sendOnce(batch);
        long late = REPEAT_MS + REPEAT_ANSWERS * mParts.reader().answerMs();
        mParts.timers().after(late, () -> repeat(batch));
        mParts.timers().after(2 * late, () -> doubt(batch));
    }

    /**
     * Sends an append once more while no answer comes. Answers a store that loses answers:
     * everything waits for the owner's append, and the store knows the second one by its number.
     */
    private void repeat(JournalBatch batch) {
        if (isAwaited(batch) && batch.unanswered() == 1) {
            sendOnce(batch);
        }
    }

    /** No answer comes to the second sending either. */
    private void doubt(JournalBatch batch) {
        if (isAwaited(batch) && batch.unanswered() > 0) {
            doubtful(batch);
        }
    }

    private void sendOnce(JournalBatch batch) {
        batch.sent(mParts.clock().moment());
        WriterEpoch writer = new WriterEpoch(WRITER, mToken, mSequence);
        mParts.sharedLog().appendAs(mPartition, writer, batch.bytes(), r -> answered(batch, r));
    }

    private boolean isAwaited(JournalBatch batch) {
        return !mOver && mSent.isPresent() && mSent.get() == batch;
    }

    private void answered(JournalBatch batch, AppendResult result) {
        if (!isAwaited(batch)) {
            return;
        }
        int awaited = batch.answered();
        boolean last = result instanceof SharedLog.Stored || result instanceof SharedLog.Fenced;
        if (!last && awaited > 0) {
            // The other one may still be stored.
            batch.maybeStored();
            return;
        }
        if (result instanceof SharedLog.Stored) {
            stored(batch);
            return;
        }
        mParts.log()
                .line("owner-append")
                .with("token", mToken)
                .with("partition", mPartition.number())
                .with("sequence", mSequence)
                .with("outcome", result)
                .write();
        if (result instanceof SharedLog.Fenced) {
            mEvents.fenced();
        } else if (result instanceof SharedLog.OutOfSequence expected) {
            mSequence = expected.expected();
            sendFirst(batch);
        } else if (result instanceof SharedLog.NotStored && !batch.isMaybeStored()) {
            refused(batch);
        } else {
            doubtful(batch);
            mParts.timers().after(RETRY_MS, () -> again(batch));
        }
    }

    private void stored(JournalBatch batch) {
        mSent = Optional.empty();
        failing(false);
        mSequence += batch.isEmpty() ? 0 : 1;
        batch.over();
        Optional<Runnable> raised = mWhenRaised;
        mWhenRaised = Optional.empty();
        mRaised = true;
        mEvents.stored(batch.items(), batch.firstSent());
        raised.ifPresent(Runnable::run);
    }

    private void refused(JournalBatch batch) {
        failing(true);
        if (mWhenRaised.isPresent()) {
            mParts.timers().after(RETRY_MS, () -> again(batch));
            return;
        }
        mSent = Optional.empty();
        batch.over();
        mEvents.refused(batch.items());
    }

    private void doubtful(JournalBatch batch) {
        batch.maybeStored();
        failing(true);
        if (batch.giveOn()) {
            mEvents.doubtful(batch.items());
        }
    }

    private void again(JournalBatch batch) {
        if (isAwaited(batch) && batch.unanswered() == 0) {
            sendFirst(batch);
        }
    }

    private void failing(boolean failing) {
        if (failing == mFailing) {
            return;
        }
        mFailing = failing;
        mParts.log()
                .line("journal-partition")
                .with("token", mToken)
                .with("partition", mPartition.number())
                .with("failing", failing)
                .write();
        if (failing) {
            mParts.timers().after(PROBE_MS, this::probe);
        }
    }

    /** An empty append changes nothing and shows whether the partition is back. */
    private void probe() {
        if (mOver || !mFailing) {
            return;
        }
        if (isIdle()) {
            send(List.of());
        }
        mParts.timers().after(PROBE_MS, this::probe);
    }
}
