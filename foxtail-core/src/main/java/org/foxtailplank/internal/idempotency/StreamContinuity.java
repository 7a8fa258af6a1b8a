package org.foxtailplank.internal.idempotency;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.id.RecordId;

/**
 * Detects records missing from the claims stream that this reader or a peer has read before.
 *
 * <p>A stream restored empty or truncated after an outage has an end offset below the reader's
 * position or a different record at an offset already read. To detect this, the reader reads its
 * last record again after each failed call. A reader that has just started or lags behind compares
 * the stream with the positions of its peers.
 */
final class StreamContinuity {

    /** How a page relates to the records read before. */
    enum Continuity {
        /** The page continues at the reader's position. */
        CONTIGUOUS,
        /** Records between the reader's position and the page have expired. */
        GAP,
        /** Records that were read before are missing. */
        TRUNCATED
    }

    private long mNextOffset = 1;
    private Optional<RecordId> mLastId = Optional.empty();
    private boolean mVerificationNeeded;
    private boolean mPageVerifies;
    private boolean mPositionsNeeded = true;
    private boolean mCaughtUp;
    private Position mFurthestPeer = Position.START;
    private Optional<RecordId> mIdAtFurthestPeer = Optional.empty();
    private long mPeersLostEra;

    /**
     * Returns the offset of the next read, which includes the last record if it must be verified.
     */
    long nextReadOffset() {
        return mVerificationNeeded && mLastId.isPresent() ? mNextOffset - 1 : mNextOffset;
    }

    /** Requires verification after a failed call, since the platform may have lost records. */
    void callFailed() {
        mVerificationNeeded = true;
        mPositionsNeeded = true;
        mCaughtUp = false;
    }

    /** Whether peers must be asked for their positions before the next read. */
    boolean positionsNeeded() {
        return mPositionsNeeded;
    }

    /** Updates the positions of the peers that answered. */
    void updatePeerPositions(List<Position> peers) {
        mPositionsNeeded = false;
        mIdAtFurthestPeer = Optional.empty();
        mFurthestPeer = Position.START;
        mPeersLostEra = 0;
        for (Position p : peers) {
            mPeersLostEra = Math.max(mPeersLostEra, p.lostEra());
            long eraOrder = Long.compare(p.era().number(), mFurthestPeer.era().number());
            if (eraOrder > 0 || eraOrder == 0 && p.next() > mFurthestPeer.next()) {
                mFurthestPeer = p;
            }
        }
    }

    /** Checks a page before it is applied. */
    Continuity check(ClaimsPage page) {
        mPageVerifies = page.fromOffset() < mNextOffset || mLastId.isEmpty();
        if (page.endOffset() < mNextOffset) {
            return Continuity.TRUNCATED;
        }
        if (page.oldestOffset() > mNextOffset) {
            return Continuity.GAP;
        }
        boolean verifies = page.fromOffset() < mNextOffset && page.oldestOffset() < mNextOffset;
        if (verifies && !startsWithLast(page)) {
            return Continuity.TRUNCATED;
        }
        return Continuity.CONTIGUOUS;
    }

    /** Restarts reading at an offset. */
    void restartAt(long offset) {
        mNextOffset = offset;
        mLastId = Optional.empty();
        mVerificationNeeded = false;
        mCaughtUp = false;
        mFurthestPeer = Position.START;
        mPeersLostEra = 0;
        mIdAtFurthestPeer = Optional.empty();
    }

    /** Whether a record has not been read before, unlike the one read again for verification. */
    boolean isNew(ClaimsPage.StoredRecord record) {
        return record.offset() >= mNextOffset;
    }

    /** Moves the position past a record. */
    void advance(ClaimsPage.StoredRecord record) {
        mNextOffset = record.offset() + 1;
        mLastId = Optional.of(record.id());
        if (mNextOffset == mFurthestPeer.next()) {
            mIdAtFurthestPeer = mLastId;
        }
    }

    /** Updates the state after all records of a page were applied. */
    void pageApplied(ClaimsPage page) {
        // A read that was in flight when a call failed did not include the last record.
        mVerificationNeeded = mVerificationNeeded && !mPageVerifies;
        mCaughtUp = mNextOffset >= page.endOffset();
    }

    /** Whether the last read reached the end of the stream and peer positions are up to date. */
    boolean isCaughtUp() {
        return mCaughtUp && !mPositionsNeeded;
    }

    /** Whether a peer has read records that this caught-up reader did not find. */
    boolean isBehindPeers(Era era) {
        if (mPeersLostEra >= era.number() && mPeersLostEra > 0) {
            return true;
        }
        if (mFurthestPeer.era().number() != era.number()) {
            return mFurthestPeer.era().number() > era.number();
        }
        boolean differs =
                mIdAtFurthestPeer.isPresent() && !mIdAtFurthestPeer.equals(mFurthestPeer.last());
        return mNextOffset < mFurthestPeer.next() || differs;
    }

    /** Returns the highest era number that a peer has reported. */
    long latestPeerEra() {
        return Math.max(mFurthestPeer.era().number(), mPeersLostEra);
    }

    Position position(Era era, long lostEra) {
        return new Position(era, mNextOffset, mLastId, lostEra);
    }

    /** Returns the state as text, to compare states in the exploration tests. */
    String describe() {
        return mNextOffset
                + ","
                + mLastId
                + mVerificationNeeded
                + mPositionsNeeded
                + mCaughtUp
                + mFurthestPeer
                + mIdAtFurthestPeer
                + mPeersLostEra;
    }

    private boolean startsWithLast(ClaimsPage page) {
        return !page.records().isEmpty()
                && page.records().get(0).offset() == mNextOffset - 1
                && mLastId.equals(Optional.of(page.records().get(0).id()));
    }
}
