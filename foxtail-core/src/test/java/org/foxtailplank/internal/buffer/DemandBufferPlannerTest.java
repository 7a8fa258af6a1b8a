package org.foxtailplank.internal.buffer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.BufferHistory;
import org.foxtailplank.fleet.BufferPlan;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.FakeFleetView;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.PoolUse;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the buffer follows demand without flapping and keeps the budgets. */
public class DemandBufferPlannerTest {

    private static final long WAKE = 60_000;
    private static final PoolId POOL = PoolId.of("claims");

    private BufferHistory mHistory = BufferHistory.none();

    @BeforeMethod
    public void resetHistory() {
        mHistory = BufferHistory.none();
    }

    private static FleetSettings settings(double weight) {
        return new FleetSettings(
                weight,
                Duration.ofMillis(WAKE),
                Duration.ofSeconds(30),
                Duration.ofMinutes(2),
                Duration.ofMinutes(30));
    }

    private static FakeFleetView fleet(int serving, int off) {
        FakeFleetView fleet = new FakeFleetView().pool("claims", 2, 6, 0);
        fleet.vms("claims", "a", 4, serving, VmPhase.SERVING);
        fleet.vms("claims", "b", 4, off, VmPhase.OFF);
        return fleet;
    }

    private BufferPlan plan(FakeFleetView fleet, Optional<PoolUse> use, long now) {
        Map<PoolId, PoolUse> uses = use.map(u -> Map.of(POOL, u)).orElse(Map.of());
        BufferPlan plan =
                BufferPlanner.byDemand(settings(0))
                        .plan(fleet, new Observation(Set.of(), uses), mHistory, now);
        mHistory = plan.history();
        return plan;
    }

    @Test
    public void wakesForDeclaredDemandWithoutMeasurements() {
        BufferPlan plan = plan(fleet(2, 10), Optional.empty(), 0);

        // Six are declared, and the loss of the largest rack is kept in reserve.
        assertTrue(plan.wake().size() >= 5, plan.poolSizings().toString());
    }

    @Test
    public void wakesWhatIsDeclaredBeforeItIsMeasured() {
        // Guards against waiting for a lagging report before VMs are woken for declared jobs.
        FakeFleetView fleet = fleet(7, 10);
        plan(fleet, Optional.of(new PoolUse(0, 6, 6)), 1_000);
        fleet.target("claims", 12);

        BufferPlan plan = plan(fleet, Optional.of(new PoolUse(0, 6, 6)), 2_000);

        assertTrue(plan.wake().size() >= 6, plan.poolSizings().toString());
    }

    @Test
    public void followsMeasuredUseWhereTheDeclaredIsFourTimesTooHigh() {
        FakeFleetView fleet = fleet(8, 0);
        fleet.target("claims", 8);
        BufferPlan plan = null;
        for (int i = 0; i <= 10; i++) {
            plan = plan(fleet, Optional.of(new PoolUse(i * WAKE, 2, 8)), i * WAKE + 1);
            for (VmId vm : plan.sleep()) {
                fleet.intend(vm, VmAction.SLEEP, Optional.empty());
                fleet.done(vm);
            }
        }

        assertEquals(
                plan.poolSizings().get(POOL).poweredOn(), plan.poolSizings().get(POOL).desired());
        assertTrue(plan.poolSizings().get(POOL).poweredOn() <= 4, plan.poolSizings().toString());
    }

    @Test
    public void keepsVmsOnDuringAShortDip() {
        FakeFleetView fleet = fleet(8, 4);
        for (int i = 0; i < 20; i++) {
            double use = i % 2 == 0 ? 3 : 7;
            BufferPlan plan = plan(fleet, Optional.of(new PoolUse(i * WAKE, use, 6)), i * WAKE);
            assertTrue(plan.sleep().isEmpty(), "round " + i);
            for (VmId vm : plan.wake()) {
                fleet.intend(vm, VmAction.WAKE, Optional.empty());
                fleet.done(vm);
            }
        }
    }

    @Test
    public void keepsWhatDemandHasGrownByDuringAWake() {
        FakeFleetView fleet = fleet(6, 10);
        plan(fleet, Optional.of(new PoolUse(0, 4, 6)), 0);

        BufferPlan plan = plan(fleet, Optional.of(new PoolUse(WAKE / 2, 7, 6)), WAKE / 2);

        assertEquals(plan.poolSizings().get(POOL).growth(), 3.0, 0.01);
        assertTrue(plan.poolSizings().get(POOL).desired() >= 10);
    }

    @Test
    public void spreadsWhatItWakesOverRacks() {
        FakeFleetView fleet = fleet(0, 8);
        fleet.target("claims", 3);

        Set<RackId> racks = new HashSet<>();
        BufferPlan plan = plan(fleet, Optional.empty(), 0);
        plan.wake().forEach(vm -> racks.add(fleet.vm(vm).orElseThrow().rack()));

        assertEquals(racks.size(), plan.wake().size());
    }

    @Test
    public void movesAVmOnlyAfterASustainedShortage() {
        // Guards against VMs that move back and forth between pools on short peaks.
        FakeFleetView fleet = new FakeFleetView().pool("claims", 1, 6, 0).pool("quotes", 1, 1, 0);
        fleet.vms("claims", "a", 4, 4, VmPhase.SERVING);
        fleet.vms("quotes", "a", 4, 2, VmPhase.SERVING);
        fleet.vms("quotes", "b", 4, 6, VmPhase.OFF);
        long cooldown = settings(0).moveCooldown().toMillis();

        assertTrue(plan(fleet, Optional.empty(), 0).moves().isEmpty());
        assertTrue(plan(fleet, Optional.empty(), cooldown - 1).moves().isEmpty());
        BufferPlan lasting = plan(fleet, Optional.empty(), cooldown);

        // Six VMs are declared and four are available; reserves don't cause moves.
        assertEquals(lasting.moves().size(), 2);
        assertEquals(lasting.moves().get(0).to(), POOL);
        assertTrue(plan(fleet, Optional.empty(), cooldown + 1).moves().isEmpty(), "moved lately");
    }

    @Test
    public void rolloutWeightWakesIdleVmsForAWave() {
        FakeFleetView fleet = fleet(8, 8);
        fleet.wave("w", "a");

        int cheap = wanted(fleet, 0);
        int fast = wanted(fleet, 1);

        assertEquals(fast, 16);
        assertTrue(cheap < fast, cheap + " against " + fast);
    }

    private static int wanted(FakeFleetView fleet, double weight) {
        return BufferPlanner.byDemand(settings(weight))
                .plan(fleet, Observation.none(), BufferHistory.none(), 0)
                .poolSizings()
                .get(POOL)
                .desired();
    }
}
