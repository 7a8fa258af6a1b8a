package org.foxtailplank.internal.control;

import java.util.Optional;
import org.foxtailplank.internal.control.PlatformVmStatus.Power;
import org.foxtailplank.internal.control.PlatformVmStatus.Progress;
import org.foxtailplank.internal.control.PlatformVmStatus.ReportedAction;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmState;

/**
 * Determines the next step of a pending intent from the folded state and the platform's report.
 *
 * <p>Stateless, so that a controller that takes over can continue from the log and the platform's
 * report at any step.
 */
public final class VmProcedure {
    private final VmTimeouts mTimeouts;

    /** Creates a procedure with its timeouts. */
    public VmProcedure(VmTimeouts timeouts) {
        mTimeouts = timeouts;
    }

    /** Returns the next step for a VM. */
    public VmProcedureStep next(VmState vm, VmObservation observation) {
        if (vm.pending().isPresent()) {
            return nextOfAction(vm, vm.pending().get(), observation);
        }
        if (vm.joining().isPresent()) {
            Drain drain = drain(PlatformCall.drainForRelease(vm), observation);
            return drain.step()
                    .orElseGet(() -> new VmProcedureStep.Join(vm.joining().get(), drain.note()));
        }
        return new VmProcedureStep.Nothing();
    }

    private VmProcedureStep nextOfAction(VmState vm, VmAction action, VmObservation observation) {
        PlatformVmStatus report = observation.report();
        PlatformCall call = PlatformCall.action(vm);
        PlatformCall wake = PlatformCall.wakeAfterAction(vm);
        Optional<ReportedAction> last = report.lastAction();
        if (last.filter(a -> a.id().equals(wake.id())).isPresent()) {
            return afterAction(last.get(), action, observation);
        }
        if (last.filter(a -> a.id().equals(call.id())).isPresent()) {
            boolean sleeps = last.get().progress() == Progress.DONE && report.power() == Power.DOWN;
            return action == VmAction.REASSIGN && sleeps
                    ? new VmProcedureStep.RequestAction(
                            wake, VmAction.WAKE, "it was reassigned while off")
                    : afterAction(last.get(), action, observation);
        }
        // The platform has accepted a later generation, so this action can't take effect any more.
        // Only a change outside this system leads here: a later intent requires the confirmation
        // of this one, and records of a former epoch are void.
        if (report.generation() >= call.generation()) {
            return new VmProcedureStep.Confirm(
                    ActionOutcome.WITHDRAWN, "superseded by an action from outside");
        }
        if (action == VmAction.WAKE) {
            return new VmProcedureStep.RequestAction(call, action, "nothing runs on it");
        }
        Drain drain = drain(PlatformCall.drainBeforeAction(vm), observation);
        return drain.step()
                .orElseGet(() -> new VmProcedureStep.RequestAction(call, action, drain.note()));
    }

    private VmProcedureStep afterAction(
            ReportedAction own, VmAction action, VmObservation observation) {
        return switch (own.progress()) {
            case RUNNING -> new VmProcedureStep.Wait("the platform to finish the action");
            case DONE -> afterDone(action, observation);
            case FAILED ->
                    new VmProcedureStep.Confirm(ActionOutcome.FAILED, "reported by the platform");
        };
    }

    // Confirms only once the backend server serves: a VM that was confirmed earlier would count as
    // available, and the next step of a wave could exceed the budget.
    private VmProcedureStep afterDone(VmAction action, VmObservation observation) {
        if (action == VmAction.SLEEP || !observation.willServe()) {
            return new VmProcedureStep.Confirm(ActionOutcome.DONE, "reported by the platform");
        }
        if (observation.backend().filter(b -> !b.leaving()).isPresent()) {
            return new VmProcedureStep.Confirm(ActionOutcome.DONE, "its backend server serves");
        }
        if (observation.ended().compareTo(mTimeouts.serveTimeout()) >= 0) {
            String why =
                    "its backend server did not serve within "
                            + mTimeouts.serveTimeout().toMillis()
                            + " ms";
            return new VmProcedureStep.Confirm(ActionOutcome.FAILED, why);
        }
        return new VmProcedureStep.Wait("its backend server to serve");
    }

    private Drain drain(PlatformCall call, VmObservation observation) {
        PlatformVmStatus report = observation.report();
        if (report.power() == Power.DOWN) {
            return Drain.done("nothing runs on it");
        }
        if (!report.leaving() && report.generation() < call.generation()) {
            return Drain.next(new VmProcedureStep.RequestDrain(call));
        }
        if (observation.draining().compareTo(mTimeouts.drainTimeout()) >= 0) {
            String left =
                    observation
                            .backend()
                            .map(b -> b.inFlight() + " in flight")
                            .orElse("no health answer");
            return Drain.done(
                    "drain timed out after %d ms, %s, %d tasks"
                            .formatted(
                                    mTimeouts.drainTimeout().toMillis(),
                                    left,
                                    observation.tasks()));
        }
        // An entry that does not know yet that the VM is leaving may still send a request, which
        // the stop would abort. After the settle time entries send nothing new, so a count of 0
        // requests in flight is reliable only then.
        if (observation.draining().compareTo(mTimeouts.settleTime()) < 0) {
            return Drain.next(new VmProcedureStep.Wait("entries to learn that it is leaving"));
        }
        if (observation.tasks() > 0) {
            return Drain.next(
                    new VmProcedureStep.Wait(observation.tasks() + " tasks to write checkpoints"));
        }
        if (!observation.hasInstance()) {
            return Drain.done("no backend server on it");
        }
        return observation
                .backend()
                .map(VmProcedure::ofBackend)
                .orElseGet(
                        () ->
                                Drain.next(
                                        new VmProcedureStep.Wait("an answer to the health check")));
    }

    private static Drain ofBackend(BackendReport backend) {
        if (!backend.leaving()) {
            return Drain.next(
                    new VmProcedureStep.Wait("its backend server to report that it is leaving"));
        }
        if (backend.inFlight() > 0) {
            return Drain.next(new VmProcedureStep.Wait(backend.inFlight() + " requests in flight"));
        }
        return Drain.done("nothing in flight, reported by its backend server");
    }

    /** Either the next step of a drain, or a note on why the VM counts as drained. */
    private record Drain(Optional<VmProcedureStep> step, String note) {
        static Drain next(VmProcedureStep step) {
            return new Drain(Optional.of(step), "");
        }

        static Drain done(String note) {
            return new Drain(Optional.empty(), note);
        }
    }
}
