package org.foxtailplank.internal.control;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.control.PlatformVmStatus.Power;
import org.foxtailplank.internal.control.PlatformVmStatus.Progress;
import org.foxtailplank.internal.control.PlatformVmStatus.ReportedAction;
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

    private final VmProcedure mProcedure =
            new VmProcedure(new VmTimeouts(SETTLE, TIMEOUT, TIMEOUT));

    @Test
    public void drainsAVmBeforeItIsRebooted() {
        assertEquals(
                next(rebooting(), up(false, 0, "old"), SERVING, Duration.ZERO),
                new VmProcedureStep.RequestDrain(new PlatformCall("vm-4-drain", 16)));
    }

    /**
     * Guards against a reboot that aborts a request from an entry that does not know yet that the
     * VM is leaving.
     */
    @Test
    public void waitsForTheSettleTimeBeforeItTrustsZeroInFlight() {
        Duration early = SETTLE.minusMillis(1);
        assertEquals(
                next(rebooting(), up(true, 16, "vm-4-drain"), IDLE, early),
                new VmProcedureStep.Wait("entries to learn that it is leaving"));
    }

    @Test
    public void waitsForWorkInFlightAndForTheBackendServersReport() {
        PlatformVmStatus draining = up(true, 16, "vm-4-drain");
        assertEquals(
                next(rebooting(), draining, BUSY, SETTLE),
                new VmProcedureStep.Wait("1 requests in flight"));
        assertEquals(
                next(rebooting(), draining, SERVING, SETTLE),
                new VmProcedureStep.Wait("its backend server to report that it is leaving"));
        assertEquals(
                next(rebooting(), draining, Optional.empty(), SETTLE),
                new VmProcedureStep.Wait("an answer to the health check"));
    }

    @Test
    public void rebootsOnceTheBackendServerReportsNothingInFlight() {
        assertEquals(
                next(rebooting(), up(true, 16, "vm-4-drain"), IDLE, SETTLE),
                new VmProcedureStep.RequestAction(
                        new PlatformCall("vm-4-action", 17),
                        VmAction.REBOOT,
                        "nothing in flight, reported by its backend server"));
    }

    @Test
    public void proceedsAfterTheDrainTimeoutAndReportsWhatWasLeft() {
        PlatformVmStatus draining = up(true, 16, "vm-4-drain");
        PlatformCall call = new PlatformCall("vm-4-action", 17);
        assertEquals(
                next(rebooting(), draining, BUSY, TIMEOUT),
                new VmProcedureStep.RequestAction(
                        call,
                        VmAction.REBOOT,
                        "drain timed out after 60000 ms, 1 in flight, 0 tasks"));
        assertEquals(
                next(rebooting(), draining, Optional.empty(), TIMEOUT),
                new VmProcedureStep.RequestAction(
                        call,
                        VmAction.REBOOT,
                        "drain timed out after 60000 ms, no health answer, 0 tasks"));
    }

    @Test
    public void requestsTheActionAtOnceWhenNothingRuns() {
        PlatformVmStatus off = new PlatformVmStatus(Power.DOWN, false, 0, Optional.empty());
        assertEquals(
                next(rebooting(), off, Optional.empty(), Duration.ZERO),
                new VmProcedureStep.RequestAction(
                        new PlatformCall("vm-4-action", 17),
                        VmAction.REBOOT,
                        "nothing runs on it"));
        assertEquals(
                next(waking(), off, Optional.empty(), Duration.ZERO),
                new VmProcedureStep.RequestAction(
                        new PlatformCall("vm-4-action", 17), VmAction.WAKE, "nothing runs on it"));
    }

    /**
     * Guards against a confirmation before the backend server serves, after which the wave would
     * stop the next VM too early.
     */
    @Test
    public void confirmsAnActionOnlyOnceTheBackendServerServes() {
        PlatformVmStatus done = ended(Progress.DONE);
        assertEquals(
                next(rebooting(), done, Optional.empty(), Duration.ZERO),
                new VmProcedureStep.Wait("its backend server to serve"));
        assertEquals(
                next(rebooting(), done, SERVING, Duration.ZERO),
                new VmProcedureStep.Confirm(ActionOutcome.DONE, "its backend server serves"));
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
                new VmProcedureStep.Confirm(
                        ActionOutcome.FAILED, "its backend server did not serve within 60000 ms"));
    }

    @Test
    public void confirmsAFailureThatThePlatformReports() {
        assertEquals(
                next(rebooting(), ended(Progress.FAILED), Optional.empty(), Duration.ZERO),
                new VmProcedureStep.Confirm(ActionOutcome.FAILED, "reported by the platform"));
    }

    @Test
    public void withdrawsAnActionThatThePlatformCanNoLongerTake() {
        assertEquals(
                next(rebooting(), up(false, 17, "by-hand"), SERVING, Duration.ZERO),
                new VmProcedureStep.Confirm(
                        ActionOutcome.WITHDRAWN, "superseded by an action from outside"));
    }

    @Test
    public void joinsTheOtherPoolOnceDrained() {
        VmState vm = vm(VmPhase.RELEASING, Optional.empty(), Optional.of(QUOTES));
        assertEquals(
                next(vm, up(false, 17, "vm-4-action"), SERVING, Duration.ZERO),
                new VmProcedureStep.RequestDrain(new PlatformCall("vm-4-release", 19)));
        assertEquals(
                next(vm, up(true, 19, "vm-4-release"), BUSY, SETTLE),
                new VmProcedureStep.Wait("1 requests in flight"));
        assertEquals(
                next(vm, up(true, 19, "vm-4-release"), IDLE, SETTLE),
                new VmProcedureStep.Join(
                        QUOTES, "nothing in flight, reported by its backend server"));
    }

    @Test
    public void wakesAVmThatWasReassignedWhileItWasOff() {
        VmState vm = vm(VmPhase.RELEASING, Optional.of(VmAction.REASSIGN), Optional.empty());
        ReportedAction done = new ReportedAction("vm-4-action", Progress.DONE);
        PlatformVmStatus off = new PlatformVmStatus(Power.DOWN, false, 17, Optional.of(done));
        assertEquals(
                next(vm, off, Optional.empty(), Duration.ZERO),
                new VmProcedureStep.RequestAction(
                        new PlatformCall("vm-4-wake", 18),
                        VmAction.WAKE,
                        "it was reassigned while off"));
        ReportedAction woken = new ReportedAction("vm-4-wake", Progress.DONE);
        PlatformVmStatus up = new PlatformVmStatus(Power.UP, false, 18, Optional.of(woken));
        assertEquals(
                next(vm, up, SERVING, Duration.ZERO),
                new VmProcedureStep.Confirm(ActionOutcome.DONE, "its backend server serves"));
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
                new VmProcedureStep.Wait("2 tasks to write checkpoints"));
    }

    @Test
    public void doesNothingForAVmWithNothingPending() {
        VmState vm = vm(VmPhase.SERVING, Optional.empty(), Optional.empty());
        assertEquals(
                next(vm, up(false, 17, "vm-4-action"), SERVING, Duration.ZERO),
                new VmProcedureStep.Nothing());
    }

    private VmProcedureStep next(
            VmState vm,
            PlatformVmStatus report,
            Optional<BackendReport> backend,
            Duration draining) {
        return mProcedure.next(
                vm, new VmObservation(report, true, true, 0, backend, draining, Duration.ZERO));
    }

    private static PlatformVmStatus up(boolean leaving, long generation, String lastAction) {
        ReportedAction last = new ReportedAction(lastAction, Progress.DONE);
        return new PlatformVmStatus(Power.UP, leaving, generation, Optional.of(last));
    }

    private static PlatformVmStatus ended(Progress progress) {
        ReportedAction own = new ReportedAction("vm-4-action", progress);
        return new PlatformVmStatus(Power.UP, false, 17, Optional.of(own));
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
