package org.foxtailplank.port;

/**
 * A service as the operator describes it.
 *
 * @param name its name, which is also that of its pool
 * @param guardsCapacity whether its workers refuse tasks that don't fit
 * @param standby whether its VMs are off and cost nothing
 */
public record PoolService(String name, boolean guardsCapacity, boolean standby) {}
