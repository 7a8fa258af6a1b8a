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
 * Decides when a node that is behind asks a peer for what is newer, and which peer.
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
     * Prepares to catch up.
     *
     * @param zone availability zone of this node, whose peers are asked first
     * @param graceNanos time that the platform has to bring the news itself
     * @param avoidNanos time for which a peer that failed is not asked again
     * @param random chooses among peers that are as good as each other
     */
    public CatchUp(ZoneId zone, long graceNanos, long avoidNanos, Random random) {
        mZone = zone;
        mGraceNanos = graceNanos;
        mAvoidNanos = avoidNanos;
        mRandom = random;
    }

    /**
     * The peer to ask now, if this node has been behind for longer than its grace.
     *
     * <p>The grace guards against every node asking its peers for each record while the platform is
     * up and brings it to all of them anyway.
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
        // Progress by the platform starts the grace anew: it works, if slowly.
        if (mBehindSince.isEmpty() || !mBehindAt.equals(own)) {
            mBehindSince = Optional.of(now);
            mBehindAt = own;
        }
        if (now - mBehindSince.get() < mGraceNanos) {
            return Optional.empty();
        }
        List<Member> willing =
                ahead.stream().filter(m -> mAvoidUntil.getOrDefault(m.node(), now) <= now).toList();
        List<Member> near =
                willing.stream().filter(m -> m.identity().zone().equals(mZone)).toList();
        return anyOf(near.isEmpty() ? willing : near);
    }

    /** A peer did not help: others are asked for a while. */
    public void failed(NodeId peer, long now) {
        mAvoidUntil.values().removeIf(until -> until <= now);
        mAvoidUntil.put(peer, now + mAvoidNanos);
    }

    /** A peer helped: it may be asked for more at once. */
    public void helped(StatePosition own) {
        mBehindAt = own;
    }

    private Optional<NodeId> anyOf(List<Member> members) {
        if (members.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(members.get(mRandom.nextInt(members.size())).node());
    }
}
