package org.foxtailplank.fleet;

import java.util.List;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;

/**
 * VMs of a wave that may be stopped together.
 *
 * @param vms the VMs, rack by rack
 * @param racks the racks of these VMs
 * @param limits limits of the step's width
 */
public record WaveStep(List<VmId> vms, List<RackId> racks, List<WaveLimit> limits) {

    public WaveStep {
        vms = List.copyOf(vms);
        racks = List.copyOf(racks);
        limits = List.copyOf(limits);
    }

    /** Returns the number of VMs that are stopped together. */
    public int width() {
        return vms.size();
    }
}
