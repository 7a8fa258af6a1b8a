package org.foxtailplank.internal.control;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.VmAtPlatform.Power;
import org.foxtailplank.internal.control.VmAtPlatform.Progress;
import org.foxtailplank.internal.control.VmAtPlatform.ReportedAction;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.testng.annotations.Test;

public class VmProcedureTest {
    private static final Duration SETTLE = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final PoolId QUOTES = PoolId.of("quotes");
    private static final Optional<BackendReport> SERVING = Optional.of(new BackendReport(false, 3));
    private static final Optional<BackendReport> BUSY = Optional.of(new BackendReport(true, 1));
    private static final Optional<BackendReport> IDLE = Optional.of(new BackendReport(true, 0));

    private final VmProcedure mProcedure = new VmProcedure(new VmWaits(SETTLE, TIMEOUT, TIMEOUT));

    @Test
    public void drainsAVmBeforeItIsRebooted() {
        assertEquals(
                next(rebooting(), up(false, 0, "old"), SERVING, Duration.ZERO),
                new VmStep.AskDrain(new PlatformCall("vm-4-drain", 16)));
    }

    /**
     * A surveyor's request is on its way from an entry that has not seen the VM leave. The backend
     * server says 0 in flight, the request arrives, and the reboot cuts it off. The settle time is
     * there against it.
     */
    @Test
    public void doesNotTrustZeroInFlightBeforeEntriesHaveLearned() {
        Duration early = SETTLE.minusMillis(1);
        assertEquals(
                next(rebooting(), up(true, 16, "vm-4-drain"), IDLE, early),
                new VmStep.Wait("entries to learn that it leaves"));
    }

    @Test
    public void waitsForWorkInFlightAndForTheBackendServersOwnWord() {
        VmAtPlatform draining = up(true, 16, "vm-4-drain");
        assertEquals(
                next(rebooting(), draining, BUSY, SETTLE), new VmStep.Wait("1 requests in flight"));
        assertEquals(
                next(rebooting(), draining, SERVING, SETTLE),
                new VmStep.Wait("its backend server to say that it leaves"));
        assertEquals(
                next(rebooting(), draining, Optional.empty(), SETTLE),
                new VmStep.Wait("its health answer"));
    }

    @Test
    public void rebootsOnceNothingIsInFlightByItsOwnWord() {
        assertEquals(
                next(rebooting(), up(true, 16, "vm-4-drain"), IDLE, SETTLE),
                new VmStep.AskAction(
                        new PlatformCall("vm-4-action", 17),
                        VmAction.REBOOT,
                        "nothing in flight by its own word"));
    }

    @Test
    public void givesUpWaitingAfterTheTimeoutAndSaysWhatWasLeft() {
        VmAtPlatform draining = up(true, 16, "vm-4-drain");
        PlatformCall call = new PlatformCall("vm-4-action", 17);
        assertEquals(
                next(rebooting(), draining, BUSY, TIMEOUT),
                new VmStep.AskAction(
                        call,
                        VmAction.REBOOT,
                        "drain timed out after 60000 ms, 1 in flight, 0 tasks"));
        assertEquals(
                next(rebooting(), draining, Optional.empty(), TIMEOUT),
                new VmStep.AskAction(
                        call,
                        VmAction.REBOOT,
                        "drain timed out after 60000 ms, no health answer, 0 tasks"));
    }

    @Test
    public void asksAtOnceWhereNothingRuns() {
        VmAtPlatform off = new VmAtPlatform(Power.DOWN, false, 0, Optional.empty());
        assertEquals(
                next(rebooting(), off, Optional.empty(), Duration.ZERO),
                new VmStep.AskAction(
                        new PlatformCall("vm-4-action", 17),
                        VmAction.REBOOT,
                        "nothing runs on it"));
        assertEquals(
                next(waking(), off, Optional.empty(), Duration.ZERO),
                new VmStep.AskAction(
                        new PlatformCall("vm-4-action", 17), VmAction.WAKE, "nothing runs on it"));
    }

    /**
     * A VM was rebooted, and its backend server still starts. Confirmed now, the wave would stop
     * the next VM of the service, and for a while two of them would serve nobody.
     */
    @Test
    public void confirmsAnActionOnlyOnceTheBackendServerServes() {
        VmAtPlatform done = ended(Progress.DONE);
        assertEquals(
                next(rebooting(), done, Optional.empty(), Duration.ZERO),
                new VmStep.Wait("its backend server to serve"));
        assertEquals(
                next(rebooting(), done, SERVING, Duration.ZERO),
                new VmStep.Confirm(ActionOutcome.DONE, "its backend server serves"));
    }

    @Test
    public void countsAVmThatNeverServesAgainAsFailed() {
        VmObservation seen =
                new VmObservation(
                        ended(Progress.DONE),
                        true,
                        true,
                        0,
                        Optional.empty(),
                        Duration.ZERO,
                        TIMEOUT);
        assertEquals(
                mProcedure.next(rebooting(), seen),
                new VmStep.Confirm(ActionOutcome.FAILED, "no service 60000 ms after it"));
    }

    @Test
    public void confirmsAFailureThatThePlatformReports() {
        assertEquals(
                next(rebooting(), ended(Progress.FAILED), Optional.empty(), Duration.ZERO),
                new VmStep.Confirm(ActionOutcome.FAILED, "the platform says so"));
    }

    @Test
    public void withdrawsAnActionThatThePlatformCanNoLongerTake() {
        assertEquals(
                next(rebooting(), up(false, 17, "by-hand"), SERVING, Duration.ZERO),
                new VmStep.Confirm(ActionOutcome.WITHDRAWN, "another hand acted on it"));
    }

    @Test
    public void joinsTheOtherPoolOnceDrained() {
        VmState vm = vm(VmPhase.RELEASING, Optional.empty(), Optional.of(QUOTES));
        assertEquals(
                next(vm, up(false, 17, "vm-4-action"), SERVING, Duration.ZERO),
                new VmStep.AskDrain(new PlatformCall("vm-4-release", 19)));
        assertEquals(
                next(vm, up(true, 19, "vm-4-release"), BUSY, SETTLE),
                new VmStep.Wait("1 requests in flight"));
        assertEquals(
                next(vm, up(true, 19, "vm-4-release"), IDLE, SETTLE),
                new VmStep.Join(QUOTES, "nothing in flight by its own word"));
    }

    @Test
    public void wakesAVmThatWasReassignedWhileItWasOff() {
        VmState vm = vm(VmPhase.RELEASING, Optional.of(VmAction.REASSIGN), Optional.empty());
        ReportedAction done = new ReportedAction("vm-4-action", Progress.DONE);
        VmAtPlatform off = new VmAtPlatform(Power.DOWN, false, 17, Optional.of(done));
        assertEquals(
                next(vm, off, Optional.empty(), Duration.ZERO),
                new VmStep.AskAction(
                        new PlatformCall("vm-4-wake", 18),
                        VmAction.WAKE,
                        "it was reassigned while off"));
        ReportedAction woken = new ReportedAction("vm-4-wake", Progress.DONE);
        VmAtPlatform up = new VmAtPlatform(Power.UP, false, 18, Optional.of(woken));
        assertEquals(
                next(vm, up, SERVING, Duration.ZERO),
                new VmStep.Confirm(ActionOutcome.DONE, "its backend server serves"));
    }

    @Test
    public void waitsForTheCheckpointsOfItsTasks() {
        VmObservation seen =
                new VmObservation(
                        up(true, 16, "vm-4-drain"),
                        false,
                        false,
                        2,
                        Optional.empty(),
                        SETTLE,
                        Duration.ZERO);
        assertEquals(
                mProcedure.next(rebooting(), seen),
                new VmStep.Wait("2 tasks to write checkpoints"));
    }

    @Test
    public void doesNothingForAVmWithNothingPending() {
        VmState vm = vm(VmPhase.SERVING, Optional.empty(), Optional.empty());
        assertEquals(
                next(vm, up(false, 17, "vm-4-action"), SERVING, Duration.ZERO),
                new VmStep.Nothing());
    }

    private VmStep next(
            VmState vm, VmAtPlatform report, Optional<BackendReport> backend, Duration draining) {
        return mProcedure.next(
                vm, new VmObservation(report, true, true, 0, backend, draining, Duration.ZERO));
    }

    private static VmAtPlatform up(boolean leaving, long generation, String lastAction) {
        ReportedAction last = new ReportedAction(lastAction, Progress.DONE);
        return new VmAtPlatform(Power.UP, leaving, generation, Optional.of(last));
    }

    private static VmAtPlatform ended(Progress progress) {
        ReportedAction own = new ReportedAction("vm-4-action", progress);
        return new VmAtPlatform(Power.UP, false, 17, Optional.of(own));
    }

    private static VmState rebooting() {
        return vm(VmPhase.STOPPING, Optional.of(VmAction.REBOOT), Optional.empty());
    }

    private static VmState waking() {
        return vm(VmPhase.WAKING, Optional.of(VmAction.WAKE), Optional.empty());
    }

    private static VmState vm(VmPhase phase, Optional<VmAction> pending, Optional<PoolId> joining) {
        return new VmState(
                VmId.of("vm"),
                ZoneId.of("a"),
                RackId.of("r1"),
                PoolId.of("claims"),
                1,
                phase,
                4,
                pending,
                Optional.empty(),
                joining,
                0,
                9);
    }
}
