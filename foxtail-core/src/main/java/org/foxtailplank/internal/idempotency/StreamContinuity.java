package org.foxtailplank.internal.idempotency;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * Tells whether the claims stream still holds what this reader, or a peer, once read from it.
 *
 * <p>Against a stream that comes back empty or shortened after an outage: it shows as an end below
 * what was read, or as another record in the place of one that was read. The reader itself finds
 * either by reading its last record again after each failed call; a reader that starts, or was
 * behind, finds it by the positions of its peers.
 */
final class StreamContinuity {

    /** How a page goes on from what was read before. */
    enum Verdict {
        /** It follows. */
        CONTINUES,
        /** Records in between have expired. */
        GAP,
        /** Records that were read are gone. */
        CUT
    }

    private long mNext = 1;
    private Optional<RecordId> mLast = Optional.empty();
    private boolean mVerify;
    private boolean mVerifying;
    private boolean mPositionsNeeded = true;
    private boolean mCaughtUp;
    private Position mFurthest = Position.START;
    private Optional<RecordId> mPassed = Optional.empty();
    private long mLostEra;

    /** Offset to read from. */
    long from() {
        return mVerify && mLast.isPresent() ? mNext - 1 : mNext;
    }

    /** A call failed: records may be gone when the platform is back. */
    void failed() {
        mVerify = true;
        mPositionsNeeded = true;
        mCaughtUp = false;
    }

    /** Whether peers must be asked for their positions before the next read. */
    boolean positionsNeeded() {
        return mPositionsNeeded;
    }

    /** Takes in the positions of the peers that answered. */
    void positions(List<Position> peers) {
        mPositionsNeeded = false;
        mPassed = Optional.empty();
        mFurthest = Position.START;
        mLostEra = 0;
        for (Position p : peers) {
            mLostEra = Math.max(mLostEra, p.lostEra());
            long eras = Long.compare(p.era().number(), mFurthest.era().number());
            if (eras > 0 || eras == 0 && p.next() > mFurthest.next()) {
                mFurthest = p;
            }
        }
    }

    /** Judges a page before it is folded. */
    Verdict judge(ClaimsPage page) {
        mVerifying = page.from() < mNext || mLast.isEmpty();
        if (page.end() < mNext) {
            return Verdict.CUT;
        }
        if (page.oldest() > mNext) {
            return Verdict.GAP;
        }
        boolean verifies = page.from() < mNext && page.oldest() < mNext;
        if (verifies && !startsWithLast(page)) {
            return Verdict.CUT;
        }
        return Verdict.CONTINUES;
    }

    /** Starts again at an offset. */
    void restartAt(long offset) {
        mNext = offset;
        mLast = Optional.empty();
        mVerify = false;
        mCaughtUp = false;
        mFurthest = Position.START;
        mLostEra = 0;
        mPassed = Optional.empty();
    }

    /** Whether a record of a page is new; the one read again to compare is not. */
    boolean isNew(ClaimsPage.Stored record) {
        return record.offset() >= mNext;
    }

    /** Goes past a record. */
    void passed(ClaimsPage.Stored record) {
        mNext = record.offset() + 1;
        mLast = Optional.of(record.id());
        if (mNext == mFurthest.next()) {
            mPassed = mLast;
        }
    }

    /** Ends a page. */
    void finish(ClaimsPage page) {
        // A read that was under way when a call failed has not compared the last record.
        mVerify = mVerify && !mVerifying;
        mCaughtUp = mNext >= page.end();
    }

    /** Whether all that the stream held at the last read was read, and peers were asked before. */
    boolean isCaughtUp() {
        return mCaughtUp && !mPositionsNeeded;
    }

    /** Whether a peer has read what this caught-up reader can't find. */
    boolean isBehindPeers(Era era) {
        if (mLostEra >= era.number() && mLostEra > 0) {
            return true;
        }
        if (mFurthest.era().number() != era.number()) {
            return mFurthest.era().number() > era.number();
        }
        boolean other = mPassed.isPresent() && !mPassed.equals(mFurthest.last());
        return mNext < mFurthest.next() || other;
    }

    /** Number of the furthest era that a peer told of. */
    long furthestEra() {
        return Math.max(mFurthest.era().number(), mLostEra);
    }

    Position position(Era era, long lostEra) {
        return new Position(era, mNext, mLast, lostEra);
    }

    /** The state in words, for an exploration of all states. */
    String describe() {
        return mNext
                + ","
                + mLast
                + mVerify
                + mPositionsNeeded
                + mCaughtUp
                + mFurthest
                + mPassed
                + mLostEra;
    }

    private boolean startsWithLast(ClaimsPage page) {
        return !page.records().isEmpty()
                && page.records().get(0).offset() == mNext - 1
                && mLast.equals(Optional.of(page.records().get(0).id()));
    }
}
