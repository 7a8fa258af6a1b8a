package org.foxtailplank.controller.internal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.membership.Member;
import org.foxtailplank.membership.MemberState;
import org.foxtailplank.membership.NodeStatus;
import org.foxtailplank.wire.PeerLink;

/** Derives the silence of other nodes from the peer link. */
public final class PeerLiveness implements PeerView {
    /**
     * Silence reported for a node that has left: exceeds every timeout, so nothing waits for it.
     */
    private static final Duration LEFT_SILENCE = Duration.ofDays(1);

    private final PeerLink mLink;
    private final NodeId mSelf;
    private final Duration mSilence;
    private final InstantSource mClock;
    private final Instant mStarted;
    private final Map<NodeId, Instant> mAwaySince = new ConcurrentHashMap<>();

    /**
     * Creates a view of the liveness of the link's members.
     *
     * @param link the peer link
     * @param silence silence after which the link considers a member away
     * @param clock measures how long a member has been away
     */
    public PeerLiveness(PeerLink link, Duration silence, InstantSource clock) {
        mLink = link;
        mSelf = link.self().node();
        mSilence = silence;
        mClock = clock;
        mStarted = clock.instant();
        link.onChange(this::memberChanged);
    }

    @Override
    public Duration silence(NodeId node) {
        if (node.equals(mSelf)) {
            return Duration.ZERO;
        }
        MemberState state = mLink.member(node).map(Member::state).orElse(MemberState.AWAY);
        return switch (state) {
            case ALIVE, SUSPECT -> Duration.ZERO;
            case LEFT -> LEFT_SILENCE;
            case AWAY -> silenceSince(mAwaySince.getOrDefault(node, mStarted));
        };
    }

    @Override
    public Optional<NodeStatus> status(NodeId node) {
        return mLink.member(node)
                .filter(member -> member.state().isReachable())
                .map(Member::status);
    }

    private Duration silenceSince(Instant away) {
        return mSilence.plus(Duration.between(away, mClock.instant()));
    }

    private void memberChanged(Member member) {
        if (member.state() == MemberState.AWAY) {
            mAwaySince.put(member.node(), mClock.instant());
        }
    }
}
