package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;

/**
 * Current epoch of a shard and its holder.
 *
 * @param shard availability zone
 * @param number number of the current epoch; 0 before the first one
 * @param holder node that holds the epoch
 * @param version offset at which the epoch was taken
 */
public record EpochState(ZoneId shard, long number, Optional<NodeId> holder, long version) {}
