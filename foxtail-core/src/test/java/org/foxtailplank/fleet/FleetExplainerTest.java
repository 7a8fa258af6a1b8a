package org.foxtailplank.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.WaveState;
import org.testng.annotations.Test;

/** Tests the explanations that operators read. */
public class FleetExplainerTest {

    private static final FleetSettings SETTINGS =
            new FleetSettings(
                    0.5,
                    Duration.ofMinutes(1),
                    Duration.ofSeconds(30),
                    Duration.ofMinutes(2),
                    Duration.ofMinutes(30));

    private final WavePlanner mPlanner = WavePlanner.byRack();

    private static FleetExplainer explainer(FakeFleetView fleet, Set<VmId> notServing) {
        Observation seen = new Observation(notServing, Map.of());
        BufferPlan plan =
                BufferPlanner.byDemand(SETTINGS).plan(fleet, seen, BufferHistory.none(), 0);
        return new FleetExplainer(fleet, seen, plan);
    }

    private static FakeFleetView fleet(int minAvailable) {
        FakeFleetView fleet = new FakeFleetView().pool("claims", minAvailable, 6, 0);
        fleet.vms("claims", "a", 3, 6, VmPhase.SERVING);
        return fleet;
    }

    private static List<ReasonKind> kinds(Optional<Explanation> explanation) {
        return explanation.orElseThrow().reasons().stream().map(Explanation.Reason::kind).toList();
    }

    @Test
    public void explainsWhatAVmWaitsFor() {
        FakeFleetView fleet = fleet(2);
        VmId vm = fleet.vms().iterator().next().id();
        WaveState wave = fleet.wave("w", "a");
        fleet.intend(vm, VmAction.REBOOT, Optional.of(wave.id()));

        Explanation why = explainer(fleet, Set.of(vm)).vm(vm).orElseThrow();

        assertEquals(
                kinds(Optional.of(why)),
                List.of(ReasonKind.FAILED, ReasonKind.ACTION_PENDING, ReasonKind.ORDERED));
        assertTrue(why.reasons().get(1).text().contains("wave w"));
    }

    @Test
    public void explainsAShortageOfAPool() {
        FakeFleetView fleet = fleet(2);
        fleet.target("claims", 20);

        assertTrue(
                kinds(explainer(fleet, Set.of()).pool(PoolId.of("claims")))
                        .contains(ReasonKind.NO_ROOM));
        assertEquals(explainer(fleet, Set.of()).pool(PoolId.of("other")), Optional.empty());
    }

    @Test
    public void explainsWhatLimitsAWave() {
        FakeFleetView fleet = fleet(6);
        WaveState wave = fleet.wave("w", "a");

        Optional<Explanation> why = explainer(fleet, Set.of()).wave(wave.id(), mPlanner);

        assertTrue(kinds(why).contains(ReasonKind.NEVER));
        assertTrue(why.orElseThrow().reasons().toString().contains("lower minAvailable"));
    }
}
