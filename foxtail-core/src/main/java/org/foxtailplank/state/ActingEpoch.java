package org.foxtailplank.state;

import org.foxtailplank.id.ZoneId;

/**
 * Epoch under which a controller acts for a shard.
 *
 * @param shard availability zone that the controller acts for
 * @param number epoch number; incremented whenever a controller takes the epoch
 */
public record ActingEpoch(ZoneId shard, long number) {}
