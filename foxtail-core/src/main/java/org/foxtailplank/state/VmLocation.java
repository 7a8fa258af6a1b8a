package org.foxtailplank.state;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ZoneId;

/**
 * Location of a VM and its initial pool.
 *
 * @param zone availability zone
 * @param rack rack
 * @param pool initial pool
 */
public record VmLocation(ZoneId zone, RackId rack, PoolId pool) {}
