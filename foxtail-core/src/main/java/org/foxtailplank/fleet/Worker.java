package org.foxtailplank.fleet;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;

/**
 * A VM that runs tasks.
 *
 * @param id the VM
 * @param pool pool that it belongs to
 * @param rack rack of the VM
 * @param capacity resources that it offers
 * @param open whether it serves and may be given tasks
 */
public record Worker(VmId id, PoolId pool, RackId rack, Resources capacity, boolean open) {}
