package org.foxtailplank.state;

import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;

/**
 * Who may act for a shard.
 *
 * @param shard availability zone
 * @param number current epoch, 0 for none yet
 * @param holder node that holds it
 * @param version offset at which it was taken
 */
public record EpochState(ZoneId shard, long number, Optional<NodeId> holder, long version) {}
