package org.foxtailplank.platform.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.VmLocation;

/** Configurations of a given size. */
final class Configurations {

    private static final int VMS_PER_RACK = 4;
    private static final int ZONES = 11;
    private static final ChangeAuthor AUTHOR = new ChangeAuthor("ivana", "measurement");

    private Configurations() {}

    static ConfigurationPublished whole(int vms, int pools) {
        Map<PoolId, PoolDefinition> poolShapes = new HashMap<>();
        Map<ServiceId, Integer> budgets = new HashMap<>();
        for (int i = 0; i < pools; i++) {
            ServiceId service = ServiceId.of("service-" + i);
            budgets.put(service, 1);
            poolShapes.put(
                    PoolId.of("pool-" + i),
                    new PoolDefinition(Optional.of(service), vms / pools, 1));
        }
        Map<VmId, VmLocation> places = new HashMap<>();
        for (int i = 0; i < vms; i++) {
            int rack = i / VMS_PER_RACK;
            places.put(
                    VmId.of("vm-" + i),
                    new VmLocation(
                            ZoneId.of("zone-" + rack % ZONES),
                            RackId.of("rack-" + rack),
                            PoolId.of("pool-" + i % pools)));
        }
        FleetTopology shape = new FleetTopology(places, poolShapes, budgets);
        return new ConfigurationPublished("{\"n\":0}", Map.of(), shape, AUTHOR);
    }

    /** A small change, as most are: one value of the base. */
    static ConfigurationChanged change(int number) {
        FleetTopology nothing = new FleetTopology(Map.of(), Map.of(), Map.of());
        return new ConfigurationChanged("{\"n\":" + number + "}", Map.of(), nothing, AUTHOR);
    }
}
