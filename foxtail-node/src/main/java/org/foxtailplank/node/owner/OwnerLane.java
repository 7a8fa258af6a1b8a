package org.foxtailplank.node.owner;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.node.owner.OwnerRecords.Item;
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
final class OwnerLane {
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
    private Optional<OwnerRecords> mSent = Optional.empty();
    private boolean mFailing;
    private boolean mOver;
    private Optional<Runnable> mWhenRaised = Optional.empty();
    private boolean mRaised;

    /** Is told what becomes of appends. */
    interface Events {
        /** An append is stored; the lane is free. */
        void stored(List<Item> items, Moment firstSent);

        /** The store refuses, and will not store these; the lane is free. */
        void refused(List<Item> items);

        /** These may be stored, now or later; the lane goes on with them. */
        void doubtful(List<Item> items);

        /** A later owner writes. */
        void fenced();
    }

    OwnerLane(OwnerParts parts, LogPartition partition, long token, Events events) {
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

    /** Sends an append; the lane must be idle. */
    void send(List<Item> items) {
        OwnerRecords records = new OwnerRecords(items);
        mSent = Optional.of(records);
        sendFirst(records);
    }

    /** Sends nothing more; returns what is on its way. */
    List<Item> end() {
        mOver = true;
        List<Item> sent = mSent.map(OwnerRecords::items).orElse(List.of());
        mSent = Optional.empty();
        return sent;
    }

    private void sendFirst(OwnerRecords records) {
        sendOnce(records);
        long late = REPEAT_MS + REPEAT_ANSWERS * mParts.reader().answerMs();
        mParts.timers().after(late, () -> repeat(records));
        mParts.timers().after(2 * late, () -> doubt(records));
    }

    /**
     * Sends an append once more while no answer comes. Answers a store that loses answers:
     * everything waits for the owner's append, and the store knows the second one by its number.
     */
    private void repeat(OwnerRecords records) {
        if (isAwaited(records) && records.unanswered() == 1) {
            sendOnce(records);
        }
    }

    /** No answer comes to the second sending either. */
    private void doubt(OwnerRecords records) {
        if (isAwaited(records) && records.unanswered() > 0) {
            doubtful(records);
        }
    }

    private void sendOnce(OwnerRecords records) {
        records.sent(mParts.clock().moment());
        WriterEpoch writer = new WriterEpoch(WRITER, mToken, mSequence);
        mParts.sharedLog().appendAs(mPartition, writer, records.bytes(), r -> answered(records, r));
    }

    private boolean isAwaited(OwnerRecords records) {
        return !mOver && mSent.isPresent() && mSent.get() == records;
    }

    private void answered(OwnerRecords records, AppendResult result) {
        if (!isAwaited(records)) {
            return;
        }
        int awaited = records.answered();
        boolean last = result instanceof SharedLog.Stored || result instanceof SharedLog.Fenced;
        if (!last && awaited > 0) {
            // The other one may still be stored.
            records.maybeStored();
            return;
        }
        if (result instanceof SharedLog.Stored) {
            stored(records);
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
            sendFirst(records);
        } else if (result instanceof SharedLog.NotStored && !records.isMaybeStored()) {
            refused(records);
        } else {
            doubtful(records);
            mParts.timers().after(RETRY_MS, () -> again(records));
        }
    }

    private void stored(OwnerRecords records) {
        mSent = Optional.empty();
        failing(false);
        mSequence += records.isEmpty() ? 0 : 1;
        records.over();
        Optional<Runnable> raised = mWhenRaised;
        mWhenRaised = Optional.empty();
        mRaised = true;
        mEvents.stored(records.items(), records.firstSent());
        raised.ifPresent(Runnable::run);
    }

    private void refused(OwnerRecords records) {
        failing(true);
        if (mWhenRaised.isPresent()) {
            mParts.timers().after(RETRY_MS, () -> again(records));
            return;
        }
        mSent = Optional.empty();
        records.over();
        mEvents.refused(records.items());
    }

    private void doubtful(OwnerRecords records) {
        records.maybeStored();
        failing(true);
        if (records.giveOn()) {
            mEvents.doubtful(records.items());
        }
    }

    private void again(OwnerRecords records) {
        if (isAwaited(records) && records.unanswered() == 0) {
            sendFirst(records);
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
