package org.foxtailplank.state;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ZoneId;

/**
 * Where a VM stands and the pool it starts in.
 *
 * @param zone availability zone
 * @param rack rack
 * @param pool pool it starts in
 */
public record VmPlace(ZoneId zone, RackId rack, PoolId pool) {}
