package org.foxtailplank.internal.membership;

import java.net.InetSocketAddress;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.membership.PeerIdentity;

/** Mutable state of one member in the table. */
final class TrackedMember {

    private static final int DEPARTURE_NOTICES = 8;

    final PeerIdentity mIdentity;
    MemberState mState = MemberState.ALIVE;

    /** Address at which this node last connected to the member. */
    InetSocketAddress mLastAddress;

    NodeStatus mStatus = NodeStatus.none();
    short mSequence;
    long mLastHeardAt;

    /** Another node authenticated at the member's address; cleared if the member reconnects. */
    boolean mReplaced;

    /** Gossip round in which a digest of the member was last sent. */
    long mLastGossipRound;

    /** Number of departure notices still to be sent for the member. */
    int mDepartureNotices = DEPARTURE_NOTICES;

    TrackedMember(PeerIdentity identity, long now) {
        mIdentity = identity;
        mLastAddress = identity.address();
        mLastHeardAt = now;
    }

    boolean hasAddress(InetSocketAddress address) {
        return mIdentity.address().equals(address);
    }

    boolean mayOwnAddress() {
        return mState != MemberState.LEFT && !mReplaced;
    }

    Member toMember() {
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
