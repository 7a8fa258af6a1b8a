package org.foxtailplank.state;

import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;

/**
 * The part of a configuration that the fold itself works with.
 *
 * @param vms place of each VM
 * @param pools shape of each pool
 * @param minAvailable availability budget of each service: instances that must be serving
 */
public record FleetShape(
        Map<VmId, VmPlace> vms,
        Map<PoolId, PoolShape> pools,
        Map<ServiceId, Integer> minAvailable) {

    public FleetShape {
        vms = Map.copyOf(vms);
        pools = Map.copyOf(pools);
        minAvailable = Map.copyOf(minAvailable);
    }
}
