package org.foxtailplank.fleet;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A planned move of a VM to another pool.
 *
 * @param vm the VM, powered off
 * @param from current pool, which has a surplus
 * @param to new pool, which has a shortage
 * @param reason why, for operators
 */
public record VmMove(VmId vm, PoolId from, PoolId to, String reason) {}
