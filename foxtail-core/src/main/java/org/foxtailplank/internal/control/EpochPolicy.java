package org.foxtailplank.internal.control;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.EpochState;

/**
 * Decides when a controller tries to take the epoch of a shard.
 *
 * <p>Clocks only decide when to try. If two nodes try at once, both append a record and the log
 * order decides, so a wrong decision costs an append but not safety.
 */
public final class EpochPolicy {
    private final NodeId mSelf;
    private final Map<NodeId, ZoneId> mNodes;
    private final Duration mSilence;
    private final Duration mStagger;

    /**
     * Creates the policy of one node.
     *
     * @param self this node
     * @param nodes zone of each controller node
     * @param silence silence after which a holder is presumed down
     * @param stagger additional delay for each node with a higher priority
     */
    public EpochPolicy(NodeId self, Map<NodeId, ZoneId> nodes, Duration silence, Duration stagger) {
        mSelf = self;
        mNodes = Map.copyOf(nodes);
        mSilence = silence;
        mStagger = stagger;
    }

    /**
     * Decides for one shard.
     *
     * @param epoch current epoch and its holder
     * @param held number of the epoch that this process took; empty for none
     * @param waited time for which this process has followed the log
     * @param liveness how long other nodes have been silent
     */
    public EpochDecision decide(
            EpochState epoch, OptionalLong held, Duration waited, Liveness liveness) {
        if (held.isPresent() && held.getAsLong() == epoch.number()) {
            return new EpochDecision.Held();
        }
        Duration turn = mStagger.multipliedBy(countPrecedingNodes(epoch.shard(), liveness));
        if (epoch.holder().isEmpty()) {
            return takeAfter(waited, turn, epoch, "nobody holds it");
        }
        NodeId holder = epoch.holder().get();
        if (holder.equals(mSelf)) {
            return takeAfter(waited, turn, epoch, "held by an earlier process of this node");
        }
        if (liveness.silence(holder).compareTo(mSilence.plus(turn)) >= 0) {
            return takeAfter(waited, mSilence.plus(turn), epoch, holder + " is silent");
        }
        if (isLocal(mSelf, epoch.shard()) && !isLocal(holder, epoch.shard())) {
            return takeAfter(waited, mSilence.plus(turn), epoch, holder + " is in another zone");
        }
        return new EpochDecision.StandBy();
    }

    private static EpochDecision takeAfter(
            Duration waited, Duration wait, EpochState epoch, String why) {
        return waited.compareTo(wait) >= 0
                ? new EpochDecision.Take(epoch.number(), why)
                : new EpochDecision.StandBy();
    }

    /** Counts live nodes with a higher priority: nodes in the shard's zone first, then by name. */
    private long countPrecedingNodes(ZoneId shard, Liveness liveness) {
        Comparator<NodeId> order =
                Comparator.comparing((NodeId n) -> !isLocal(n, shard)).thenComparing(NodeId::value);
        return mNodes.keySet().stream()
                .filter(n -> !n.equals(mSelf))
                .filter(n -> order.compare(n, mSelf) < 0)
                .filter(n -> liveness.silence(n).compareTo(mSilence) < 0)
                .count();
    }

    private boolean isLocal(NodeId node, ZoneId shard) {
        return shard.equals(mNodes.get(node));
    }
}
