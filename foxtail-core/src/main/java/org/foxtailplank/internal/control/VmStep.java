package org.foxtailplank.internal.control;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.state.ActionOutcome;
import org.foxtailplank.state.VmAction;

/** What a controller does next for a VM whose intent is pending. */
public sealed interface VmStep {
    /** Nothing is pending. */
    record Nothing() implements VmStep {}

    /**
     * It looks again later.
     *
     * @param reason what it waits for
     */
    record Wait(String reason) implements VmStep {}

    /** It asks the platform to drain the VM. */
    record AskDrain(PlatformCall call) implements VmStep {}

    /**
     * It asks the platform for the intended action.
     *
     * @param call id and generation
     * @param action the action
     * @param note why it is safe now, for the log
     */
    record AskAction(PlatformCall call, VmAction action, String note) implements VmStep {}

    /**
     * It records how the action ended.
     *
     * @param outcome how it ended
     * @param note how this is known, for the log
     */
    record Confirm(ActionOutcome outcome, String note) implements VmStep {}

    /**
     * It records that the drained VM joins its new pool.
     *
     * @param to the pool
     * @param note why the VM counts as drained, for the log
     */
    record Join(PoolId to, String note) implements VmStep {}
}
