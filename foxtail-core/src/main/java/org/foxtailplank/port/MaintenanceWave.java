package org.foxtailplank.port;

import java.util.List;

/**
 * An operator's request to reboot VMs for maintenance.
 *
 * @param number number of the wave
 * @param vms the VMs
 * @param durationMs time within which all VMs must be rebooted, in milliseconds
 * @param maxConcurrent maximum number of VMs of the wave that may be down at a time
 */
public record MaintenanceWave(long number, List<String> vms, long durationMs, int maxConcurrent) {
    public MaintenanceWave {
        vms = List.copyOf(vms);
    }
}
