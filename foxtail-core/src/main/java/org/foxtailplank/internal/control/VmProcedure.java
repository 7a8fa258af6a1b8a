package org.foxtailplank.internal.control;

import java.util.Optional;
import org.foxtailplank.internal.control.VmAtPlatform.Power;
import org.foxtailplank.internal.control.VmAtPlatform.Progress;
import org.foxtailplank.internal.control.VmAtPlatform.ReportedAction;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmState;

/**
 * Finds the next step for a pending intent from the agreed state and the platform's word alone.
 *
 * <p>It keeps no memory of its own, so a controller that takes over at any step goes on from what
 * stands in the log and at the platform.
 */
public final class VmProcedure {
    private final VmWaits mWaits;

    /** A procedure with its waits. */
    public VmProcedure(VmWaits waits) {
        mWaits = waits;
    }

    /** The next step for a VM as folded from the log. */
    public VmStep next(VmState vm, VmObservation seen) {
        if (vm.pending().isPresent()) {
            return nextOfAction(vm, vm.pending().get(), seen);
        }
        if (vm.joining().isPresent()) {
            Drain drain = drain(PlatformCall.drainForRelease(vm), seen);
            return drain.step().orElseGet(() -> new VmStep.Join(vm.joining().get(), drain.note()));
        }
        return new VmStep.Nothing();
    }

    private VmStep nextOfAction(VmState vm, VmAction action, VmObservation seen) {
        VmAtPlatform report = seen.report();
        PlatformCall call = PlatformCall.action(vm);
        PlatformCall wake = PlatformCall.wakeAfterAction(vm);
        Optional<ReportedAction> last = report.lastAction();
        if (last.filter(a -> a.id().equals(wake.id())).isPresent()) {
            return afterAction(last.get(), action, seen);
        }
        if (last.filter(a -> a.id().equals(call.id())).isPresent()) {
            boolean sleeps = last.get().progress() == Progress.DONE && report.power() == Power.DOWN;
            return action == VmAction.REASSIGN && sleeps
                    ? new VmStep.AskAction(wake, VmAction.WAKE, "it was reassigned while off")
                    : afterAction(last.get(), action, seen);
        }
        // The platform has taken a later generation, so this action can never take effect any
        // more. Only another hand on the platform leads here: a later intent needs this one's
        // confirmation first, and a controller whose epoch is over has its record made void.
        if (report.generation() >= call.generation()) {
            return new VmStep.Confirm(ActionOutcome.WITHDRAWN, "another hand acted on it");
        }
        if (action == VmAction.WAKE) {
            return new VmStep.AskAction(call, action, "nothing runs on it");
        }
        Drain drain = drain(PlatformCall.drainBeforeAction(vm), seen);
        return drain.step().orElseGet(() -> new VmStep.AskAction(call, action, drain.note()));
    }

    private VmStep afterAction(ReportedAction own, VmAction action, VmObservation seen) {
        return switch (own.progress()) {
            case RUNNING -> new VmStep.Wait("the platform to finish the action");
            case DONE -> afterDone(action, seen);
            case FAILED -> new VmStep.Confirm(ActionOutcome.FAILED, "the platform says so");
        };
    }

    // A VM that is powered on serves nobody until its backend server does. Confirmed earlier, it
    // would count as available, and the next step of a wave would take the budget away.
    private VmStep afterDone(VmAction action, VmObservation seen) {
        if (action == VmAction.SLEEP || !seen.willServe()) {
            return new VmStep.Confirm(ActionOutcome.DONE, "the platform says so");
        }
        if (seen.backend().filter(b -> !b.leaving()).isPresent()) {
            return new VmStep.Confirm(ActionOutcome.DONE, "its backend server serves");
        }
        if (seen.ended().compareTo(mWaits.serveTimeout()) >= 0) {
            String why = "no service " + mWaits.serveTimeout().toMillis() + " ms after it";
            return new VmStep.Confirm(ActionOutcome.FAILED, why);
        }
        return new VmStep.Wait("its backend server to serve");
    }

    private Drain drain(PlatformCall call, VmObservation seen) {
        VmAtPlatform report = seen.report();
        if (report.power() == Power.DOWN) {
            return Drain.done("nothing runs on it");
        }
        if (!report.leaving() && report.generation() < call.generation()) {
            return Drain.next(new VmStep.AskDrain(call));
        }
        if (seen.draining().compareTo(mWaits.drainTimeout()) >= 0) {
            String left =
                    seen.backend().map(b -> b.inFlight() + " in flight").orElse("no health answer");
            return Drain.done(
                    "drain timed out after %d ms, %s, %d tasks"
                            .formatted(mWaits.drainTimeout().toMillis(), left, seen.tasks()));
        }
        // A request may be on its way from an entry that has not seen the VM leave yet: in flight
        // is 0 for a moment, then it arrives and the stop cuts it off. Entries send nothing new
        // once the VM has been leaving for the settle time, so 0 counts only after it.
        if (seen.draining().compareTo(mWaits.settle()) < 0) {
            return Drain.next(new VmStep.Wait("entries to learn that it leaves"));
        }
        if (seen.tasks() > 0) {
            return Drain.next(new VmStep.Wait(seen.tasks() + " tasks to write checkpoints"));
        }
        if (!seen.hasInstance()) {
            return Drain.done("no backend server on it");
        }
        return seen.backend()
                .map(VmProcedure::ofBackend)
                .orElseGet(() -> Drain.next(new VmStep.Wait("its health answer")));
    }

    private static Drain ofBackend(BackendReport backend) {
        if (!backend.leaving()) {
            return Drain.next(new VmStep.Wait("its backend server to say that it leaves"));
        }
        if (backend.inFlight() > 0) {
            return Drain.next(new VmStep.Wait(backend.inFlight() + " requests in flight"));
        }
        return Drain.done("nothing in flight by its own word");
    }

    /** Either a step that drains, or the note that it is drained. */
    private record Drain(Optional<VmStep> step, String note) {
        static Drain next(VmStep step) {
            return new Drain(Optional.of(step), "");
        }

        static Drain done(String note) {
            return new Drain(Optional.empty(), note);
        }
    }
}
