package org.foxtailplank.fleet;

import java.util.List;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;

/**
 * VMs of a wave that may be stopped at once.
 *
 * @param vms the VMs, rack by rack
 * @param racks the racks they stand in
 * @param limits what keeps the step from being wider
 */
public record WaveStep(List<VmId> vms, List<RackId> racks, List<WaveLimit> limits) {

    public WaveStep {
        vms = List.copyOf(vms);
        racks = List.copyOf(racks);
        limits = List.copyOf(limits);
    }

    /** Number of VMs stopped at once. */
    public int width() {
        return vms.size();
    }
}
