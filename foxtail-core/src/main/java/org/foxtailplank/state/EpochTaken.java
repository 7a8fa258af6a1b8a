package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;

/**
 * A controller takes the epoch of a shard.
 *
 * @param shard availability zone
 * @param replaces epoch number that is replaced; the first record that names it wins
 * @param holder node that takes the epoch
 */
public record EpochTaken(ZoneId shard, long replaces, NodeId holder) implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(shard));
    }
}
