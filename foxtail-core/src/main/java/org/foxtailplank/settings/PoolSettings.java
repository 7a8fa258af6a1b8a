package org.foxtailplank.settings;

import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;

/**
 * A pool of VMs.
 *
 * @param service service whose instances its VMs run
 * @param vms VMs it starts with
 * @param target VMs that are powered on for the declared jobs
 * @param reserve VMs powered on beyond the target for the loss of a failure domain
 */
public record PoolSettings(Optional<ServiceId> service, Set<VmId> vms, int target, int reserve) {

    public PoolSettings {
        vms = Set.copyOf(vms);
    }
}
