package org.foxtailplank.settings;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.VmLocation;

/** Takes out of settings what the fold needs to know; it is the same for every site. */
public final class FleetShapes {
    private FleetShapes() {}

    /** The shape of a fleet. */
    public static FleetTopology of(Settings settings) {
        Map<VmId, VmLocation> places = new HashMap<>();
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        settings.pools()
                .forEach(
                        (id, pool) -> {
                            pools.put(
                                    id,
                                    new PoolDefinition(
                                            pool.service(), pool.target(), pool.reserve()));
                            pool.vms().forEach(vm -> places.put(vm, place(settings, vm, id)));
                        });
        Map<ServiceId, Integer> budgets = new HashMap<>();
        settings.services().forEach((id, service) -> budgets.put(id, service.minAvailable()));
        return new FleetTopology(places, pools, budgets);
    }

    private static VmLocation place(Settings settings, VmId vm, PoolId pool) {
        VmSettings v = settings.vms().get(vm);
        return new VmLocation(v.zone(), v.rack(), pool);
    }
}
