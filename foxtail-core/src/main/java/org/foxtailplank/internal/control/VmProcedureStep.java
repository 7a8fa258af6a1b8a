package org.foxtailplank.internal.control;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.VmAction;

/** The next step of a controller for a VM. */
public sealed interface VmProcedureStep {
    /** Nothing is pending. */
    record Nothing() implements VmProcedureStep {}

    /**
     * Check again later.
     *
     * @param reason condition that it waits for
     */
    record Wait(String reason) implements VmProcedureStep {}

    /** Request a drain from the platform. */
    record RequestDrain(PlatformCall call) implements VmProcedureStep {}

    /**
     * Request the intended action from the platform.
     *
     * @param call id and generation
     * @param action the action
     * @param note why the action is safe now, for log output
     */
    record RequestAction(PlatformCall call, VmAction action, String note)
            implements VmProcedureStep {}

    /**
     * Record the outcome of the action.
     *
     * @param outcome the outcome
     * @param note evidence of the outcome, for log output
     */
    record Confirm(ActionOutcome outcome, String note) implements VmProcedureStep {}

    /**
     * Record that the drained VM joins its new pool.
     *
     * @param to the pool
     * @param note why the VM counts as drained, for log output
     */
    record Join(PoolId to, String note) implements VmProcedureStep {}
}
