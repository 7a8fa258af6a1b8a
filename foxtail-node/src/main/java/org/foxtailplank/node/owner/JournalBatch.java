package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.lease.ClockReading;
import org.foxtailplank.node.journal.StoreOutcome;

/** Records of one append and their callbacks. */
final class JournalBatch {
    private final List<PendingRecord> mRecords;

    private Optional<ClockReading> mFirstSent = Optional.empty();
    private boolean mMaybeStored;
    private int mUnansweredSends;
    private boolean mRerouted;

    JournalBatch(Collection<PendingRecord> records) {
        mRecords = new ArrayList<>(records);
    }

    /** A record and the callback for its outcome. */
    static final class PendingRecord {
        private final byte[] mBytes;
        private final boolean mHandedOver;
        private final Consumer<StoreOutcome> mCallback;
        private final Optional<PartitionWriter> mWriter;
        private boolean mCompleted;
        private int mAppendCount;

        /**
         * Creates a record to be stored.
         *
         * @param handedOver whether another node handed it over
         * @param callback called once with the outcome
         */
        PendingRecord(byte[] bytes, boolean handedOver, Consumer<StoreOutcome> callback) {
            this(bytes, handedOver, callback, Optional.empty());
        }

        private PendingRecord(
                byte[] bytes,
                boolean handedOver,
                Consumer<StoreOutcome> callback,
                Optional<PartitionWriter> writer) {
            mBytes = bytes;
            mHandedOver = handedOver;
            mCallback = callback;
            mWriter = writer;
        }

        /** Creates a record that only this partition's writer may append. */
        static PendingRecord onlyBy(
                PartitionWriter writer, byte[] bytes, Consumer<StoreOutcome> callback) {
            return new PendingRecord(bytes, false, callback, Optional.of(writer));
        }

        /** Whether only one partition may store it. */
        boolean isBound() {
            return mWriter.isPresent();
        }

        /** Whether only this writer may append it. */
        boolean isBoundTo(PartitionWriter writer) {
            return mWriter.isPresent() && mWriter.get() == writer;
        }

        int byteCount() {
            return mBytes.length;
        }

        boolean isHandedOver() {
            return mHandedOver;
        }

        /** Whether the callback has run; an append to a second partition may still be in flight. */
        boolean isCompleted() {
            return mCompleted;
        }

        /** Whether it is part of an append that may be or may become stored. */
        boolean isInAppend() {
            return mAppendCount > 0;
        }

        void complete(StoreOutcome outcome) {
            if (!mCompleted) {
                mCompleted = true;
                mCallback.accept(outcome);
            }
        }
    }

    List<PendingRecord> records() {
        return List.copyOf(mRecords);
    }

    boolean isEmpty() {
        return mRecords.isEmpty();
    }

    List<byte[]> bytes() {
        return mRecords.stream().map(r -> r.mBytes).toList();
    }

    long byteCount() {
        return mRecords.stream().mapToLong(PendingRecord::byteCount).sum();
    }

    /** Counts a send of this append. */
    void recordSend(ClockReading now) {
        if (mFirstSent.isEmpty()) {
            mFirstSent = Optional.of(now);
            mRecords.forEach(r -> r.mAppendCount++);
        }
        mUnansweredSends++;
    }

    /** When the append was first sent. */
    ClockReading firstSentAt() {
        return mFirstSent.orElseThrow();
    }

    /** Counts the result of a send; returns how many sends are still unanswered. */
    int recordAnswer() {
        return --mUnansweredSends;
    }

    int unansweredSends() {
        return mUnansweredSends;
    }

    /** Whether the append may be stored, so that its records can no longer be rejected. */
    boolean isMaybeStored() {
        return mMaybeStored;
    }

    void markMaybeStored() {
        mMaybeStored = true;
    }

    /** Marks the records as sent to another partition too; returns whether they were not before. */
    boolean markRerouted() {
        boolean first = !mRerouted;
        mRerouted = true;
        return first;
    }

    /** Releases the records: the append is stored or never will be. */
    void release() {
        mRecords.forEach(r -> r.mAppendCount--);
    }
}
