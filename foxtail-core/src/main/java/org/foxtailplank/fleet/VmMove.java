package org.foxtailplank.fleet;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A VM that is to change its pool.
 *
 * @param vm the VM, powered off
 * @param from pool that can spare it
 * @param to pool that is short of it
 * @param reason why, for operators
 */
public record VmMove(VmId vm, PoolId from, PoolId to, String reason) {}
