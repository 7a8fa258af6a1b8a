package org.foxtailplank.state;

import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;

/**
 * The part of a configuration that the fold uses.
 *
 * @param vms location of each VM
 * @param pools definition of each pool
 * @param minAvailable availability budget of each service: instances that must be serving
 */
public record FleetTopology(
        Map<VmId, VmLocation> vms,
        Map<PoolId, PoolDefinition> pools,
        Map<ServiceId, Integer> minAvailable) {

    public FleetTopology {
        vms = Map.copyOf(vms);
        pools = Map.copyOf(pools);
        minAvailable = Map.copyOf(minAvailable);
    }
}
