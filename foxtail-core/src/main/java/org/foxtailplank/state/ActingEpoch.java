package org.foxtailplank.state;

import org.foxtailplank.id.ZoneId;

/**
 * The right of a controller to act for a shard.
 *
 * @param shard availability zone acted for
 * @param number epoch number; each taking adds one
 */
public record ActingEpoch(ZoneId shard, long number) {}
