package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;

/**
 * A controller takes the right to act for a shard.
 *
 * @param shard availability zone
 * @param replaces epoch number that it replaces; the first such record wins
 * @param holder node that takes it
 */
public record EpochTaken(ZoneId shard, long replaces, NodeId holder) implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(shard));
    }
}
