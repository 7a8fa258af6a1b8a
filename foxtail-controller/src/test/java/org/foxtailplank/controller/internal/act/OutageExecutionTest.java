package org.foxtailplank.controller.internal.act;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.function.Predicate;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.platform.VmPower;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Waves during platform outages, VM failures and operator commands. */
public class OutageExecutionTest {
    private static final WaveId WAVE = WaveId.of("w");
    private static final Predicate<FleetView> ALL_SERVE =
            view -> view.vms().stream().allMatch(vm -> vm.phase() == VmPhase.SERVING);
    private static final Predicate<FleetView> SOME_MAINTAINED =
            view -> view.vms().stream().filter(vm -> vm.lastMaintained() > 0).count() >= 3;
    private static final Predicate<FleetView> SOMETHING_PENDING =
            view -> view.vms().stream().anyMatch(vm -> vm.pending().isPresent());

    private TestFleet mFleet;
    private TestController mNode;

    @BeforeMethod
    public void startAWave() {
        mFleet = new TestFleet();
        mNode = mFleet.start("a-1", Interruption.none());
        mFleet.runUntil(ALL_SERVE, mNode);
        mFleet.startWave("w");
    }

    /** Guards against a second reboot when the response to the first is lost. */
    @Test
    public void rebootsOnceThoughThePlatformsAnswersAreLost() {
        while (!isIn(WavePhase.FINISHED).test(mFleet.view())) {
            mFleet.platform().loseResponses(1);
            mFleet.log().loseResponses(1);
            mFleet.run(Duration.ofSeconds(1), mNode);
        }
        assertMaintainedOnce();
    }

    /** During an outage of log and VMs nothing is stopped; afterwards the wave resumes. */
    @Test
    public void goesOnAfterThePlatformWasGoneForAnHour() {
        mFleet.runUntil(SOMETHING_PENDING, mNode);
        mFleet.platform().setUnavailable(true);
        mFleet.log().setUnavailable(true);
        List<String> before = List.copyOf(mFleet.platform().effects());
        mFleet.run(Duration.ofHours(1), mNode);
        assertEquals(mFleet.platform().effects(), before);
        mFleet.platform().setUnavailable(false);
        mFleet.log().setUnavailable(false);
        mFleet.runUntil(isIn(WavePhase.FINISHED), mNode);
        assertMaintainedOnce();
    }

    /** VMs of a failed rack count against the availability budget. */
    @Test
    public void keepsTheBudgetWhenARackIsLostInTheMiddle() {
        mFleet.runUntil(SOME_MAINTAINED, mNode);
        mFleet.platform().failRack("r2");
        mFleet.run(Duration.ofMinutes(5), mNode);
        mFleet.assertBudgetsHold();
        assertEquals(mFleet.platform().cutOff(), List.of());
        long broken = mFleet.view().vms().stream().filter(v -> v.phase() == VmPhase.BROKEN).count();
        assertEquals(broken, 4);
    }

    /** A wave pauses when VMs do not come back from their reboots, until an operator resumes it. */
    @Test
    public void pausesOverCorrelatedFailuresAndGoesOnWhenTold() {
        mFleet.platform().failNextAction("claims-0");
        mFleet.platform().failNextAction("claims-1");
        mFleet.runUntil(isIn(WavePhase.PAUSED), mNode);
        WaveState paused = mFleet.view().wave(WAVE).orElseThrow();
        assertEquals(paused.lastOrder().who(), "a-1");
        assertTrue(paused.lastOrder().why().contains("claims-0"), paused.lastOrder().why());
        int before = mFleet.platform().effects().size();
        mFleet.run(TestFleet.SETTLING_TIME, mNode);
        assertEquals(mFleet.platform().effects().size(), before);
        mFleet.platform().setPower("claims-0", VmPower.ON);
        mFleet.platform().setPower("claims-1", VmPower.ON);
        order(WaveOrder.RESUME);
        mFleet.runUntil(isIn(WavePhase.FINISHED), mNode);
        assertEquals(mFleet.platform().cutOff(), List.of());
    }

    @Test
    public void endsWhatIsUnderWayAndNothingElseOnceItIsCancelled() {
        mFleet.runUntil(SOMETHING_PENDING, mNode);
        order(WaveOrder.CANCEL);
        mFleet.runUntil(SOMETHING_PENDING.negate(), mNode);
        List<String> before = List.copyOf(mFleet.platform().effects());
        mFleet.run(TestFleet.SETTLING_TIME, mNode);
        assertEquals(mFleet.platform().effects(), before);
        assertTrue(ALL_SERVE.test(mFleet.view()));
    }

    /** A request that never ends delays a reboot only up to the drain timeout. */
    @Test
    public void stopsAVmWhoseRequestNeverEndsAfterTheDrainTimeout() {
        mFleet.platform().neverEndRequest("claims-0");
        mFleet.runUntil(isIn(WavePhase.FINISHED), mNode);
        assertEquals(mFleet.platform().cutOff(), List.of("REBOOT claims-0"));
    }

    /** A VM that fails and recovers is recorded in the log without any platform action. */
    @Test
    public void seesAVmFailAndComeBack() {
        mFleet.runUntil(isIn(WavePhase.FINISHED), mNode);
        int before = mFleet.platform().effects().size();
        mFleet.platform().setPower("claims-0", VmPower.FAILED);
        mFleet.runUntil(view -> phase(view) == VmPhase.BROKEN, mNode);
        mFleet.platform().setPower("claims-0", VmPower.ON);
        mFleet.runUntil(view -> phase(view) == VmPhase.SERVING, mNode);
        assertEquals(mFleet.platform().effects().size(), before);
    }

    /** Of two changes based on the same version only the first is applied. */
    @Test
    public void letsOneOfTwoRacingOperatorsWin() {
        PoolId pool = PoolId.of("claims");
        ObjectKey key = ObjectKey.of(pool);
        long version = mFleet.view().version(key);
        Change first = new PoolTargetChanged(pool, 5, 0, TestFleet.OPERATOR);
        Change second = new PoolTargetChanged(pool, 4, 0, TestFleet.OPERATOR);
        assertTrue(mFleet.submit(first, key, version).isApplied());
        Verdict verdict = mFleet.submit(second, key, version);
        assertFalse(verdict.isApplied());
        assertEquals(mFleet.view().pool(pool).orElseThrow().target(), 5);
    }

    private void order(WaveOrder order) {
        Change change = new WaveControlled(WAVE, order, TestFleet.OPERATOR);
        ObjectKey key = ObjectKey.of(WAVE);
        assertTrue(mFleet.submit(change, key, mFleet.view().version(key)).isApplied());
    }

    private static Predicate<FleetView> isIn(WavePhase phase) {
        return view -> view.wave(WAVE).filter(w -> w.phase() == phase).isPresent();
    }

    private static VmPhase phase(FleetView view) {
        return view.vm(VmId.of("claims-0")).map(VmState::phase).orElseThrow();
    }

    private void assertMaintainedOnce() {
        List<String> reboots =
                mFleet.platform().effects().stream().filter(e -> e.startsWith("REBOOT")).toList();
        assertEquals(reboots.size(), mFleet.view().vms().size(), reboots.toString());
        assertEquals(new HashSet<>(reboots).size(), reboots.size(), reboots.toString());
        assertEquals(mFleet.platform().cutOff(), List.of());
    }
}
