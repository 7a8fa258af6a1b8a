package org.foxtailplank.internal.wave;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.foxtailplank.fleet.FakeFleetView;
import org.foxtailplank.fleet.LimitKind;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.WaveDecision;
import org.foxtailplank.fleet.WavePlan;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveState;
import org.testng.annotations.Test;

/** Tests that waves keep every budget under failures. */
public class RackWavePlannerTest {

    private final WavePlanner mPlanner = WavePlanner.byRack();

    @Test
    public void stopsAsManyAsTheBudgetAndTheLossOfOneMoreRackAllow() {
        FakeFleetView fleet = new FakeFleetView().pool("claims", 4, 9, 0);
        fleet.vms("claims", "a", 3, 9, VmPhase.SERVING);
        WaveState wave = fleet.wave("w", "a");

        WaveDecision.Go go = go(fleet, wave, Observation.none());

        // Nine serve in racks of three: with one rack stopped and another lost, three would be
        // left, so only a part of the first rack may stop.
        assertEquals(go.step().width(), 2);
        assertEquals(go.step().limits().get(0).kind(), LimitKind.BUDGET);
    }

    @Test
    public void reportsABudgetThatCanNeverBeMet() {
        FakeFleetView fleet = new FakeFleetView().pool("claims", 6, 6, 0);
        fleet.vms("claims", "a", 3, 6, VmPhase.SERVING);
        WaveState wave = fleet.wave("w", "a");

        WaveDecision next = mPlanner.next(fleet, wave, ZoneId.of("a"), Observation.none());

        assertTrue(next instanceof WaveDecision.Hold);
        assertEquals(((WaveDecision.Hold) next).limits().get(0).kind(), LimitKind.NEVER);
        WavePlan plan = mPlanner.plan(fleet, wave, Observation.none());
        assertEquals(plan.vms(), 0);
        assertEquals(plan.blocked().get(0).kind(), LimitKind.NEVER);
    }

    @Test
    public void countsAPendingStopOfAnotherWriter() {
        // Guards against a wave that counts a VM with a pending stop of another writer as serving.
        FakeFleetView fleet = new FakeFleetView().pool("claims", 5, 8, 0);
        fleet.vms("claims", "a", 8, 8, VmPhase.SERVING);
        WaveState wave = fleet.wave("w", "a");
        int before = go(fleet, wave, Observation.none()).step().width();

        fleet.intend(fleet.vms().iterator().next().id(), VmAction.SLEEP, Optional.empty());

        assertEquals(before, 1 + widthNow(fleet, wave, Observation.none()));
    }

    @Test
    public void pausesWhenTheVmsThatItRebootedFail() {
        // Guards against a bad image that breaks rack after rack, each within the budget.
        FakeFleetView fleet = new FakeFleetView().pool("claims", 2, 40, 0);
        fleet.vms("claims", "a", 10, 40, VmPhase.SERVING);
        WaveState wave = fleet.wave("w", "a");
        List<VmId> first = go(fleet, wave, Observation.none()).step().vms();
        assertEquals(first.size(), 4, "the first step is one rack");
        first.forEach(vm -> fleet.intend(vm, VmAction.REBOOT, Optional.of(wave.id())));
        fleet.failed(first.get(0));
        fleet.failed(first.get(1));

        WaveDecision next = mPlanner.next(fleet, wave, ZoneId.of("a"), Observation.none());

        assertTrue(next instanceof WaveDecision.Pause);
        assertTrue(((WaveDecision.Pause) next).reason().contains("2 of the last 2"));
    }

    @Test
    public void continuesAfterAnOperatorResumedTheWave() {
        FakeFleetView fleet = new FakeFleetView().pool("claims", 2, 40, 0);
        fleet.vms("claims", "a", 10, 40, VmPhase.SERVING);
        WaveState wave = fleet.wave("w", "a");
        List<VmId> first = go(fleet, wave, Observation.none()).step().vms();
        first.forEach(vm -> fleet.intend(vm, VmAction.REBOOT, Optional.of(wave.id())));
        first.forEach(fleet::failed);

        WaveState resumed = fleet.resumed(wave);

        assertTrue(widthNow(fleet, resumed, Observation.none()) > 0);
    }

    @Test
    public void waitsIfAReportListsManyVmsAsSilent() {
        // Guards against a report from a cut-off zone, by which the wave would count as finished.
        FakeFleetView fleet = new FakeFleetView().pool("claims", 2, 8, 0);
        fleet.vms("claims", "a", 4, 8, VmPhase.SERVING);
        WaveState wave = fleet.wave("w", "a");
        Set<VmId> all = new HashSet<>();
        fleet.vms().forEach(vm -> all.add(vm.id()));

        WaveDecision next =
                mPlanner.next(fleet, wave, ZoneId.of("a"), new Observation(all, Map.of()));

        assertTrue(next instanceof WaveDecision.Hold);
    }

    @Test
    public void keepsEveryBudgetAndReachesTheEndUnderSeededFailures() {
        // Reboots end in random order, VMs fail, and a rack is lost meanwhile. Every stop has to
        // keep the budget, including the loss of one more rack.
        for (int seed = 0; seed < 60; seed++) {
            Random random = new Random(seed);
            FakeFleetView fleet = randomFleet(random);
            WaveState wave = fleet.wave("w", "a", "b");
            assertTrue(runWave(fleet, wave, random), "seed " + seed + " did not end");
        }
    }

    @Test
    public void plansAllStepsOfAWave() {
        FakeFleetView fleet = new FakeFleetView().pool("claims", 4, 12, 0).pool("quotes", 4, 12, 0);
        fleet.vms("claims", "a", 6, 12, VmPhase.SERVING);
        fleet.vms("quotes", "b", 6, 12, VmPhase.SERVING);

        WavePlan plan = mPlanner.plan(fleet, fleet.wave("w", "a", "b"), Observation.none());

        assertEquals(plan.vms(), 24);
        assertTrue(plan.blocked().isEmpty());
        assertTrue(plan.steps().size() < 24);
    }

    private static FakeFleetView randomFleet(Random random) {
        FakeFleetView fleet = new FakeFleetView();
        for (int i = 0; i < 4; i++) {
            String pool = "p" + i;
            int size = 8 + random.nextInt(8);
            fleet.pool(pool, size / 2, size, 0);
            fleet.vms(pool, "a", 5, size, VmPhase.SERVING);
            fleet.vms(pool, "b", 4, size, VmPhase.SERVING);
        }
        return fleet;
    }

    private boolean runWave(FakeFleetView fleet, WaveState first, Random random) {
        WaveState wave = first;
        Set<VmId> dead = new HashSet<>();
        Set<ZoneId> finished = new HashSet<>();
        for (int round = 0; round < 2_000 && finished.size() < 2; round++) {
            if (round == 3) {
                fleet.vms().stream()
                        .filter(v -> v.rack().value().equals("a-r1"))
                        .forEach(v -> dead.add(v.id()));
            }
            if (round == 6) {
                dead.clear();
            }
            Observation seen = new Observation(dead, Map.of());
            for (ZoneId zone : wave.zones()) {
                WaveDecision next = mPlanner.next(fleet, wave, zone, seen);
                if (next instanceof WaveDecision.Go go) {
                    go.step().vms().forEach(vm -> intend(fleet, vm, first, seen));
                } else if (next instanceof WaveDecision.Pause) {
                    wave = fleet.resumed(wave);
                } else if (next instanceof WaveDecision.Finished) {
                    finished.add(zone);
                }
            }
            finishSome(fleet, random);
        }
        return finished.size() == 2;
    }

    private static void intend(FakeFleetView fleet, VmId vm, WaveState wave, Observation seen) {
        fleet.intend(vm, VmAction.REBOOT, Optional.of(wave.id()));
        assertKeepsBudget(fleet, fleet.vm(vm).orElseThrow(), seen);
    }

    private static void finishSome(FakeFleetView fleet, Random random) {
        List<VmState> pending = new ArrayList<>(fleet.vms());
        pending.removeIf(v -> v.pending().isEmpty());
        for (VmState vm : pending) {
            int chance = random.nextInt(100);
            if (chance < 2) {
                fleet.failed(vm.id());
            } else if (chance < 60) {
                fleet.done(vm.id());
            }
        }
    }

    /** Asserts the budget independently of the code under test. */
    private static void assertKeepsBudget(FakeFleetView fleet, VmState stopped, Observation seen) {
        Map<RackId, Integer> byRack = new HashMap<>();
        int serving = 0;
        for (VmState vm : fleet.vmsOf(stopped.pool())) {
            boolean up = vm.phase() == VmPhase.SERVING && !seen.notServing().contains(vm.id());
            if (up) {
                serving++;
                byRack.merge(vm.rack(), 1, Integer::sum);
            }
        }
        int largest = byRack.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        int needed = fleet.minAvailable(fleet.pool(stopped.pool()).orElseThrow().service().get());
        assertFalse(serving - largest < needed, stopped + " breaks the budget");
    }

    private WaveDecision.Go go(FakeFleetView fleet, WaveState wave, Observation seen) {
        return (WaveDecision.Go) mPlanner.next(fleet, wave, ZoneId.of("a"), seen);
    }

    private int widthNow(FakeFleetView fleet, WaveState wave, Observation seen) {
        WaveDecision next = mPlanner.next(fleet, wave, ZoneId.of("a"), seen);
        return next instanceof WaveDecision.Go go ? go.step().width() : 0;
    }
}
