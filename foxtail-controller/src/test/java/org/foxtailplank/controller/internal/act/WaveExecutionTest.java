package org.foxtailplank.controller.internal.act;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.function.Predicate;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.WavePhase;
import org.testng.annotations.Test;

/** Waves reboot each VM once and within budgets although controllers die or are paused. */
public class WaveExecutionTest {
    private static final WaveId WAVE = WaveId.of("w");
    private static final Predicate<FleetView> ALL_SERVE =
            view -> view.vms().stream().allMatch(vm -> vm.phase() == VmPhase.SERVING);
    private static final Predicate<FleetView> WAVE_FINISHED =
            view -> view.wave(WAVE).filter(w -> w.phase() == WavePhase.FINISHED).isPresent();

    @Test
    public void takesAFleetThatRunsAlreadyIntoTheState() {
        TestFleet fleet = new TestFleet();
        fleet.runUntil(ALL_SERVE, fleet.start("a-1", Interruption.none()));
        assertEquals(fleet.platform().effects(), List.of());
    }

    @Test
    public void rebootsEveryVmOnceAndCutsOffNothing() {
        TestFleet fleet = new TestFleet();
        TestController node = fleet.start("a-1", Interruption.none());
        fleet.runUntil(ALL_SERVE, node);
        fleet.startWave("w");
        fleet.runUntil(WAVE_FINISHED, node);
        assertMaintainedOnce(fleet);
    }

    /**
     * Guards against a second reboot or a VM that stays drained after the controller dies before or
     * after any call.
     */
    @Test
    public void goesOnAfterAControllerDiedAtAnyStep() {
        int steps = 0;
        for (boolean afterEffect : new boolean[] {false, true}) {
            for (int call = 0; killedAt(call, afterEffect); call++) {
                steps++;
            }
        }
        assertTrue(steps > 100, "only " + steps + " steps");
    }

    private static boolean killedAt(int call, boolean afterEffect) {
        TestFleet fleet = new TestFleet();
        Interruption kill = Interruption.killAt(call, afterEffect);
        TestController first = fleet.start("a-1", kill);
        fleet.startWave("w");
        fleet.runUntil(view -> kill.isDead() || WAVE_FINISHED.test(view), first);
        if (!kill.isDead()) {
            return false;
        }
        fleet.silentNodes().add(NodeId.of("a-1"));
        fleet.runUntil(WAVE_FINISHED, fleet.start("a-2", Interruption.none()));
        assertMaintainedOnce(fleet);
        return true;
    }

    /**
     * Guards against two controllers that stop VMs at the same time: only the epoch shows that the
     * intents of the paused one are void.
     */
    @Test
    public void ignoresAControllerThatWasPausedPastItsEpochAtAnyStep() {
        int steps = 0;
        for (boolean afterEffect : new boolean[] {false, true}) {
            for (int call = 0; pausedAt(call, afterEffect); call++) {
                steps++;
            }
        }
        assertTrue(steps > 100, "only " + steps + " steps");
    }

    private static boolean pausedAt(int call, boolean afterEffect) {
        TestFleet fleet = new TestFleet();
        TestController second = fleet.start("a-2", Interruption.none());
        boolean[] paused = {false};
        Runnable whilePaused =
                () -> {
                    paused[0] = true;
                    fleet.silentNodes().add(NodeId.of("a-1"));
                    long epoch = fleet.view().epoch(TestFleet.ZONE).number();
                    fleet.runUntil(v -> v.epoch(TestFleet.ZONE).number() > epoch, second);
                };
        TestController first = fleet.start("a-1", Interruption.at(call, afterEffect, whilePaused));
        fleet.startWave("w");
        fleet.runUntil(WAVE_FINISHED, first, second);
        fleet.assertNothingAppliedAfterItsEpoch();
        assertMaintainedOnce(fleet);
        return paused[0];
    }

    /**
     * Guards against a late drain by a paused controller, which would take a VM out of service that
     * another controller has already rebooted.
     */
    @Test
    public void refusesADrainThatComesLate() {
        TestFleet fleet = new TestFleet();
        TestController second = fleet.start("a-2", Interruption.none());
        Runnable whilePaused =
                () -> {
                    fleet.silentNodes().add(NodeId.of("a-1"));
                    fleet.platform().setPower("claims-0", VmPower.FAILED);
                    fleet.runUntil(WAVE_FINISHED, second);
                };
        TestController first =
                fleet.start("a-1", Interruption.atFirstAction("claims-0", whilePaused));
        fleet.startWave("w");
        fleet.runUntil(WAVE_FINISHED, first);
        fleet.run(TestFleet.SETTLING_TIME, first, second);
        List<String> effects = fleet.platform().effects();
        assertTrue(effects.contains("REBOOT claims-0"), effects.toString());
        assertFalse(effects.contains("DRAIN claims-0"), effects.toString());
        assertTrue(fleet.platform().isServing("claims-0"));
    }

    private static void assertMaintainedOnce(TestFleet fleet) {
        List<String> reboots =
                fleet.platform().effects().stream().filter(e -> e.startsWith("REBOOT")).toList();
        assertEquals(reboots.size(), fleet.view().vms().size(), reboots.toString());
        assertEquals(new HashSet<>(reboots).size(), reboots.size(), reboots.toString());
        assertEquals(fleet.platform().cutOff(), List.of());
        assertTrue(ALL_SERVE.test(fleet.view()));
    }
}
