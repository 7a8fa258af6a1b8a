package org.foxtailplank.port;

import java.util.List;

/**
 * The operator's order that VMs be rebooted for maintenance.
 *
 * @param number number of the wave
 * @param vms the VMs
 * @param durationMs time for all of them, in milliseconds
 * @param atOnce most VMs of the wave that may be down at a time
 */
public record WaveOrder(long number, List<String> vms, long durationMs, int atOnce) {
    public WaveOrder {
        vms = List.copyOf(vms);
    }
}
