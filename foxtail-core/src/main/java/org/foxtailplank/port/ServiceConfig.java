package org.foxtailplank.port;

/**
 * Configuration of a service.
 *
 * @param name name of the service and of its VM pool
 * @param enforcesCapacity whether its workers reject tasks that exceed their free resources
 * @param standby whether its VMs are switched off and incur no cost
 */
public record ServiceConfig(String name, boolean enforcesCapacity, boolean standby) {}
