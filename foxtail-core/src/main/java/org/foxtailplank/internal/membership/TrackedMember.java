package org.foxtailplank.internal.membership;

import java.net.InetSocketAddress;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.membership.PeerIdentity;

/** What is kept of one member. */
final class TrackedMember {

    private static final int FAREWELLS = 8;

    final PeerIdentity mIdentity;
    MemberState mState = MemberState.ALIVE;

    /** Where it was last reached from here. */
    InetSocketAddress mReachedAt;

    NodeStatus mStatus = NodeStatus.none();
    short mBeat;
    long mHeardAt;

    /** Another process was met at its address: only it itself can undo that. */
    boolean mReplaced;

    /** Turn in which it was last told on. */
    long mToldTurn;

    /** How often its leaving is still to be told on. */
    int mFarewells = FAREWELLS;

    TrackedMember(PeerIdentity identity, long now) {
        mIdentity = identity;
        mReachedAt = identity.address();
        mHeardAt = now;
    }

    boolean isAt(InetSocketAddress address) {
        return mIdentity.address().equals(address);
    }

    boolean mayHoldItsAddress() {
        return mState != MemberState.LEFT && !mReplaced;
    }

    Member view() {
        return new Member(mIdentity, mState, mStatus);
    }

    MemberState stateAfter(long silence, SilenceLimits limits) {
        if (mState == MemberState.LEFT || mReplaced) {
            return mState;
        }
        if (silence >= limits.awayNanos()) {
            return MemberState.AWAY;
        }
        return silence >= limits.suspectNanos() ? MemberState.SUSPECT : MemberState.ALIVE;
    }
}
