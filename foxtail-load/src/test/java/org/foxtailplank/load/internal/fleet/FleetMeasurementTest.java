package org.foxtailplank.load.internal.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.PlacementSettings;
import org.foxtailplank.fleet.Placer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.VmLocation;
import org.testng.annotations.Test;

/** The decisions keep their promises through a day of faults on the real fold. */
public class FleetMeasurementTest {

    private static final long STEP_MS = 60_000;

    private static FleetScenario scenario() {
        Map<VmId, VmLocation> places = new HashMap<>();
        Map<VmId, Resources> capacity = new HashMap<>();
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        Map<ServiceId, Integer> budgets = new HashMap<>();
        for (int p = 0; p < 3; p++) {
            ServiceId service = ServiceId.of("s" + p);
            PoolId pool = PoolId.of("p" + p);
            pools.put(pool, new PoolDefinition(Optional.of(service), 9, 1));
            budgets.put(service, 5);
            for (int i = 0; i < 12; i++) {
                VmId vm = VmId.of("vm" + p + "-" + i);
                ZoneId zone = ZoneId.of("z" + i % 3);
                places.put(vm, new VmLocation(zone, RackId.of("r" + i), pool));
                capacity.put(vm, Resources.of(16, 64L << 30, 0));
            }
        }
        FleetSettings settings =
                new FleetSettings(
                        0.5,
                        Duration.ofSeconds(90),
                        Duration.ofSeconds(30),
                        Duration.ofSeconds(120),
                        Duration.ofMinutes(15));
        Map<TeamId, Double> quotas = Map.of(TeamId.of("a"), 0.5, TeamId.of("b"), 0.5);
        FleetTopology shape = new FleetTopology(places, pools, budgets);
        return new FleetScenario("test", shape, settings, capacity, quotas);
    }

    private static CapacityResult day(CapacityPolicy policy) {
        long wave = 9 * FaultTimes.HOUR_MS;
        return new CapacityRun(scenario(), policy, wave, STEP_MS, 7).run();
    }

    @Test
    public void dayOfFaultsBreaksNoBudgetAndIsTheSameForTheSameSeed() {
        CapacityResult first = day(new PlannedCapacity(scenario().settings()));
        CapacityResult again = day(new PlannedCapacity(scenario().settings()));

        assertEquals(first.violations(), 0);
        assertEquals(first.waveDone(), 1.0);
        assertEquals(again.bufferMean(), first.bufferMean());
        assertEquals(again.waveMinutes(), first.waveMinutes());
        assertEquals(again.refused(), first.refused());
    }

    /**
     * One pool of this seed declares a quarter of what it needs. The baseline trusts that, so its
     * buffer is smaller and its callers lack VMs.
     */
    @Test
    public void plannedDayLacksFewerVmsAndHasAShorterWaveThanANaiveOne() {
        CapacityResult ours = day(new PlannedCapacity(scenario().settings()));
        CapacityResult naive = day(new NaiveCapacity());

        assertTrue(ours.shortMean() < naive.shortMean() / 4);
        assertTrue(ours.wholeWaveMinutes() < naive.wholeWaveMinutes());
    }

    @Test
    public void urgentWorkStartsInTimeInAFullFleetWithBadWorkersAndWrongSizes() {
        FleetScenario scenario = scenario();
        PlacementTimes times = new PlacementTimes(20 * FaultTimes.MINUTE_MS);
        List<PlannedJob> jobs = new JobPlan(scenario, times.lengthMs(), 7).jobs();
        Placer placer = Placer.indexed(PlacementSettings.standard());

        PlacementResult result = new PlacementRun(scenario, placer, times, 7).run("ours", jobs);

        assertTrue(result.urgent() > 20, "only " + result.urgent());
        assertEquals(result.urgentLate() - result.urgentLateInTrouble(), 0);
        assertEquals(result.refusedNever(), result.neverRunning());
        assertEquals(result.refusedOthers(), 0);
    }
}
