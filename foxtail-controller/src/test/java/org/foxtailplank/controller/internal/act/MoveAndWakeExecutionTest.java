package org.foxtailplank.controller.internal.act;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.VmState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Moves and wake-ups take effect once although controllers die or are paused at any step. */
public class MoveAndWakeExecutionTest {
    private static final VmId VM = VmId.of("claims-0");
    private static final PoolId QUOTES = PoolId.of("quotes");

    /** A change with its expected final state and platform actions. */
    private record Scenario(
            String name,
            Consumer<TestFleet> setUp,
            Consumer<TestFleet> order,
            Predicate<FleetView> goal,
            List<String> effects) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final Scenario MOVE =
            new Scenario(
                    "move",
                    fleet -> {},
                    MoveAndWakeExecutionTest::release,
                    view -> serves(view, QUOTES),
                    List.of("DRAIN claims-0", "REASSIGN claims-0"));

    private static final Scenario MOVE_OF_A_VM_THAT_IS_OFF =
            new Scenario(
                    "move of a VM that is off",
                    MoveAndWakeExecutionTest::powerOff,
                    MoveAndWakeExecutionTest::release,
                    view -> serves(view, QUOTES),
                    List.of("REASSIGN claims-0", "WAKE claims-0"));

    private static final Scenario WAKE =
            new Scenario(
                    "wake",
                    MoveAndWakeExecutionTest::powerOff,
                    fleet -> target(fleet, 6),
                    view -> serves(view, PoolId.of("claims")),
                    List.of("WAKE claims-0"));

    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {{MOVE}, {MOVE_OF_A_VM_THAT_IS_OFF}, {WAKE}};
    }

    @Test(dataProvider = "scenarios")
    public void happensOnce(Scenario scenario) {
        TestFleet fleet = fleet(scenario);
        TestController node = fleet.start("a-1", Interruption.none());
        scenario.order().accept(fleet);
        fleet.runUntil(scenario.goal(), node);
        assertEquals(fleet.platform().effects(), scenario.effects());
    }

    /**
     * Guards against VMs that stay drained or are reassigned twice after the controller dies before
     * or after any call.
     */
    @Test(dataProvider = "scenarios")
    public void goesOnAfterAControllerDiedAtAnyStep(Scenario scenario) {
        int steps = 0;
        for (boolean afterEffect : new boolean[] {false, true}) {
            for (int call = 0; killedAt(scenario, call, afterEffect); call++) {
                steps++;
            }
        }
        assertTrue(steps > 10, "only " + steps + " steps");
    }

    private static boolean killedAt(Scenario scenario, int call, boolean afterEffect) {
        TestFleet fleet = fleet(scenario);
        Interruption kill = Interruption.killAt(call, afterEffect);
        TestController first = fleet.start("a-1", kill);
        scenario.order().accept(fleet);
        fleet.runUntil(view -> kill.isDead() || scenario.goal().test(view), first);
        if (!kill.isDead()) {
            return false;
        }
        fleet.silentNodes().add(NodeId.of("a-1"));
        fleet.runUntil(scenario.goal(), fleet.start("a-2", Interruption.none()));
        assertDoneOnce(fleet, scenario);
        return true;
    }

    /**
     * Guards against a late call of a paused controller that affects a VM which another controller
     * has already finished.
     */
    @Test(dataProvider = "scenarios")
    public void isNotDisturbedByAControllerThatWasPausedAtAnyStep(Scenario scenario) {
        int steps = 0;
        for (boolean afterEffect : new boolean[] {false, true}) {
            for (int call = 0; pausedAt(scenario, call, afterEffect); call++) {
                steps++;
            }
        }
        assertTrue(steps > 10, "only " + steps + " steps");
    }

    private static boolean pausedAt(Scenario scenario, int call, boolean afterEffect) {
        TestFleet fleet = fleet(scenario);
        TestController[] second = new TestController[1];
        Runnable whilePaused =
                () -> {
                    fleet.silentNodes().add(NodeId.of("a-1"));
                    second[0] = fleet.start("a-2", Interruption.none());
                    fleet.runUntil(scenario.goal(), second[0]);
                    fleet.silentNodes().clear();
                };
        Interruption pause = Interruption.at(call, afterEffect, whilePaused);
        TestController first = fleet.start("a-1", pause);
        scenario.order().accept(fleet);
        fleet.runUntil(scenario.goal(), first);
        if (second[0] == null) {
            return false;
        }
        fleet.run(TestFleet.SETTLING_TIME, first, second[0]);
        assertTrue(scenario.goal().test(fleet.view()));
        assertDoneOnce(fleet, scenario);
        return true;
    }

    /** Two controllers that do not hear each other both try to act. */
    @Test(dataProvider = "scenarios")
    public void happensOnceWithTwoControllersThatTakeTheEpochFromEachOther(Scenario scenario) {
        TestFleet fleet = fleet(scenario);
        fleet.silentNodes().add(NodeId.of("a-1"));
        fleet.silentNodes().add(NodeId.of("a-2"));
        TestController first = fleet.start("a-1", Interruption.none());
        TestController second = fleet.start("a-2", Interruption.none());
        fleet.run(Duration.ofSeconds(5), first, second);
        scenario.order().accept(fleet);
        fleet.runUntil(scenario.goal(), first, second);
        assertTrue(fleet.view().epoch(TestFleet.ZONE).number() > 3, "they did not race");
        assertDoneOnce(fleet, scenario);
    }

    private static TestFleet fleet(Scenario scenario) {
        TestFleet fleet = new TestFleet();
        scenario.setUp().accept(fleet);
        return fleet;
    }

    /** Asserts that each action was executed exactly once, or at most once for drains. */
    private static void assertDoneOnce(TestFleet fleet, Scenario scenario) {
        List<String> effects = fleet.platform().effects();
        assertEquals(new HashSet<>(effects).size(), effects.size(), effects.toString());
        assertTrue(scenario.effects().containsAll(effects), effects.toString());
        List<String> wanted =
                scenario.effects().stream().filter(e -> !e.startsWith("DRAIN")).toList();
        assertTrue(effects.containsAll(wanted), effects.toString());
        assertEquals(fleet.platform().cutOff(), List.of());
    }

    private static void release(TestFleet fleet) {
        VmState vm = fleet.view().vm(VM).orElseThrow();
        Change change = new VmReleased(VM, vm.pool(), QUOTES, TestFleet.OPERATOR);
        assertTrue(fleet.submit(change, ObjectKey.of(VM), vm.version()).isApplied());
    }

    private static void powerOff(TestFleet fleet) {
        fleet.platform().setPower("claims-0", VmPower.OFF);
        target(fleet, 3);
    }

    private static void target(TestFleet fleet, int target) {
        PoolId pool = PoolId.of("claims");
        ObjectKey key = ObjectKey.of(pool);
        Change change = new PoolTargetChanged(pool, target, 0, TestFleet.OPERATOR);
        assertTrue(fleet.submit(change, key, fleet.view().version(key)).isApplied());
    }

    private static boolean serves(FleetView view, PoolId pool) {
        return view.vm(VM)
                .filter(vm -> vm.pool().equals(pool) && vm.phase() == VmPhase.SERVING)
                .isPresent();
    }
}
