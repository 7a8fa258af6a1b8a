package org.foxtailplank.internal.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Member;
import org.foxtailplank.state.StatePosition;

/**
 * Decides when a node that lags behind the log fetches records from a peer, and from which one.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class CatchUp {

    private final ZoneId mZone;
    private final long mGraceNanos;
    private final long mAvoidNanos;
    private final Random mRandom;
    private final Map<NodeId, Long> mAvoidUntil = new HashMap<>();
    private Optional<Long> mBehindSince = Optional.empty();
    private StatePosition mBehindAt = StatePosition.NOTHING;

    /**
     * Creates a policy for a node that isn't behind.
     *
     * @param zone availability zone of this node, whose peers are preferred
     * @param graceNanos time without progress before a peer is asked
     * @param avoidNanos time for which a failed peer isn't asked again
     * @param random selects among equally suitable peers
     */
    public CatchUp(ZoneId zone, long graceNanos, long avoidNanos, Random random) {
        mZone = zone;
        mGraceNanos = graceNanos;
        mAvoidNanos = avoidNanos;
        mRandom = random;
    }

    /**
     * Returns the peer to ask now, if this node has lagged behind for the grace period.
     *
     * <p>The grace period prevents every node from asking its peers for each record while the
     * platform delivers it anyway.
     */
    public Optional<NodeId> peerToAsk(StatePosition own, Collection<Member> members, long now) {
        List<Member> ahead =
                members.stream()
                        .filter(m -> m.state().isReachable())
                        .filter(m -> m.status().position().compareTo(own) > 0)
                        .toList();
        if (ahead.isEmpty()) {
            mBehindSince = Optional.empty();
            return Optional.empty();
        }
        // Progress through the platform restarts the grace period.
        if (mBehindSince.isEmpty() || !mBehindAt.equals(own)) {
            mBehindSince = Optional.of(now);
            mBehindAt = own;
        }
        if (now - mBehindSince.get() < mGraceNanos) {
            return Optional.empty();
        }
        List<Member> eligible =
                ahead.stream().filter(m -> mAvoidUntil.getOrDefault(m.node(), now) <= now).toList();
        List<Member> local =
                eligible.stream().filter(m -> m.identity().zone().equals(mZone)).toList();
        return anyOf(local.isEmpty() ? eligible : local);
    }

    /** Excludes a peer for a while after a failed request. */
    public void peerFailed(NodeId peer, long now) {
        mAvoidUntil.values().removeIf(until -> until <= now);
        mAvoidUntil.put(peer, now + mAvoidNanos);
    }

    /** Records progress through a peer, which doesn't restart the grace period. */
    public void peerHelped(StatePosition own) {
        mBehindAt = own;
    }

    private Optional<NodeId> anyOf(List<Member> members) {
        if (members.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(members.get(mRandom.nextInt(members.size())).node());
    }
}
