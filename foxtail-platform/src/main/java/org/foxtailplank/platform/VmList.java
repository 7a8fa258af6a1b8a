package org.foxtailplank.platform;

import java.time.Instant;
import java.util.List;

/**
 * The platform's lagging list of VMs.
 *
 * @param asOf time at which the platform saw them so, by its own clock
 * @param vms live and leaving VMs
 */
public record VmList(Instant asOf, List<VmReport> vms) {

    public VmList {
        vms = List.copyOf(vms);
    }
}
