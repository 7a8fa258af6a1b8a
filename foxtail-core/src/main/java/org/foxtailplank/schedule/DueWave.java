package org.foxtailplank.schedule;

import org.foxtailplank.port.MaintenanceWave;

/**
 * A maintenance wave with its deadline.
 *
 * @param wave wave that the operator requested
 * @param dueMs time by which all VMs should be rebooted, on this process's monotonic clock
 */
public record DueWave(MaintenanceWave wave, long dueMs) {}
