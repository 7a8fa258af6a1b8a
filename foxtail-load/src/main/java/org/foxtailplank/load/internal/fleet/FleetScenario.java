package org.foxtailplank.load.internal.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.settings.FleetShapes;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.VmLocation;

/**
 * A fleet to decide for.
 *
 * @param name its name
 * @param shape places, pools and budgets
 * @param settings weights and times
 * @param capacity what each worker offers
 * @param quotas share of each team
 */
public record FleetScenario(
        String name,
        FleetTopology shape,
        FleetSettings settings,
        Map<VmId, Resources> capacity,
        Map<TeamId, Double> quotas) {

    private static final int LARGE_VMS = 15_000;
    private static final int LARGE_POOLS = 83;
    private static final int LARGE_TEAMS = 82;
    private static final int LARGE_ZONES = 11;
    private static final int VMS_OF_RACK = 4;
    private static final long GIB = 1L << 30;

    /** The fleet of a deployment's settings. */
    public static FleetScenario of(Settings settings) {
        Map<VmId, Resources> capacity = new HashMap<>();
        settings.vms()
                .forEach(
                        (id, vm) ->
                                capacity.put(
                                        id,
                                        Resources.of(
                                                vm.processors(),
                                                vm.memoryBytes(),
                                                vm.accelerators())));
        Map<TeamId, Double> quotas = new HashMap<>();
        settings.teams().forEach((id, team) -> quotas.put(id, team.quota()));
        return new FleetScenario(
                settings.deployment(),
                FleetShapes.of(settings),
                settings.fleet(),
                capacity,
                quotas);
    }

    /** 15,000 workers in 83 pools of 82 teams over 11 zones, four to a rack. */
    public static FleetScenario large() {
        Map<VmId, VmLocation> places = new HashMap<>();
        Map<VmId, Resources> capacity = new HashMap<>();
        for (int i = 0; i < LARGE_VMS; i++) {
            int rack = i / VMS_OF_RACK;
            VmId id = VmId.of("vm-" + i);
            ZoneId zone = ZoneId.of("zone-" + rack % LARGE_ZONES);
            PoolId pool = PoolId.of("pool-" + i % LARGE_POOLS);
            places.put(id, new VmLocation(zone, RackId.of("rack-" + rack), pool));
            capacity.put(id, Resources.of(32, 128 * GIB, 0));
        }
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        Map<ServiceId, Integer> budgets = new HashMap<>();
        int size = LARGE_VMS / LARGE_POOLS;
        for (int p = 0; p < LARGE_POOLS; p++) {
            ServiceId service = ServiceId.of("service-" + p);
            pools.put(
                    PoolId.of("pool-" + p),
                    new PoolDefinition(Optional.of(service), size * 3 / 4, VMS_OF_RACK));
            budgets.put(service, size / 2);
        }
        Map<TeamId, Double> quotas = new HashMap<>();
        for (int t = 0; t < LARGE_TEAMS; t++) {
            quotas.put(TeamId.of("team-" + t), 1.0 / LARGE_TEAMS);
        }
        FleetSettings settings =
                new FleetSettings(
                        0.5,
                        Duration.ofSeconds(90),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(120),
                        Duration.ofMinutes(15));
        return new FleetScenario(
                "large", new FleetTopology(places, pools, budgets), settings, capacity, quotas);
    }

    /** The same fleet with another weight of roll-out time. */
    public FleetScenario weighing(double rolloutWeight) {
        FleetSettings s = settings;
        FleetSettings weighed =
                new FleetSettings(
                        rolloutWeight,
                        s.wakeTime(),
                        s.drainTimeout(),
                        s.rebootTime(),
                        s.moveCooldown());
        return new FleetScenario(name, shape, weighed, capacity, quotas);
    }
}
