package org.foxtailplank.node.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.lease.Moment;
import org.foxtailplank.node.journal.StoreOutcome;

/** Records of one append, with who waits for each. */
final class JournalBatch {
    private final List<Item> mItems;

    private Optional<Moment> mFirstSent = Optional.empty();
    private boolean mMaybeStored;
    private int mUnanswered;
    private boolean mGivenOn;

    JournalBatch(Collection<Item> items) {
        mItems = new ArrayList<>(items);
    }

    /** A record, and who waits for what comes of it. */
    static final class Item {
        private final byte[] mBytes;
        private final boolean mHandedOver;
        private final Consumer<StoreOutcome> mThen;
        private boolean mTold;
        private int mSentBy;

        /**
         * A record that is to be stored.
         *
         * @param handedOver whether another node waits for it
         * @param then is told once what came of it
         */
        Item(byte[] bytes, boolean handedOver, Consumer<StoreOutcome> then) {
            mBytes = bytes;
            mHandedOver = handedOver;
            mThen = then;
        }

        boolean isHandedOver() {
            return mHandedOver;
        }

        /**
         * Whether who waits has been told; it may be on its way to a second partition all the same.
         */
        boolean isTold() {
            return mTold;
        }

        /** Whether it is in an append that may be stored, or will be. */
        boolean isSent() {
            return mSentBy > 0;
        }

        void tell(StoreOutcome outcome) {
            if (!mTold) {
                mTold = true;
                mThen.accept(outcome);
            }
        }
    }

    List<Item> items() {
        return List.copyOf(mItems);
    }

    boolean isEmpty() {
        return mItems.isEmpty();
    }

    List<byte[]> bytes() {
        return mItems.stream().map(i -> i.mBytes).toList();
    }

    /** One more sending. */
    void sent(Moment now) {
        if (mFirstSent.isEmpty()) {
            mFirstSent = Optional.of(now);
            mItems.forEach(i -> i.mSentBy++);
        }
        mUnanswered++;
    }

    /** When it was first sent. */
    Moment firstSent() {
        return mFirstSent.orElseThrow();
    }

    /** One sending was answered, or given up; returns how many are still awaited. */
    int answered() {
        return --mUnanswered;
    }

    int unanswered() {
        return mUnanswered;
    }

    /** It may be stored, so that it can't be taken back. */
    boolean isMaybeStored() {
        return mMaybeStored;
    }

    void maybeStored() {
        mMaybeStored = true;
    }

    /** Marks it as given to another partition as well; returns whether it was not before. */
    boolean giveOn() {
        boolean first = !mGivenOn;
        mGivenOn = true;
        return first;
    }

    /** It is stored, or will never be: this append counts no more. */
    void over() {
        mItems.forEach(i -> i.mSentBy--);
    }
}
