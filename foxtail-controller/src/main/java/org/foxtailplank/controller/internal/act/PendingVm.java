package org.foxtailplank.controller.internal.act;

import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/**
 * A VM with an action or a move in progress.
 *
 * @param vm state of the VM according to the log
 * @param tasks number of tasks that may be running on it
 * @param willServe whether its pool runs a service, so that a backend server is expected on it
 */
record PendingVm(VmState vm, int tasks, boolean willServe) {
    static PendingVm of(FleetView view, VmState vm, int tasks) {
        boolean willServe = view.pool(vm.pool()).flatMap(PoolState::service).isPresent();
        return new PendingVm(vm, tasks, willServe);
    }

    /** Returns whether a controller has to take the next step for a VM. */
    static boolean isDue(FleetView view, VmState vm) {
        boolean due = vm.pending().isPresent() || vm.phase() == VmPhase.RELEASING;
        return due && !view.isFrozen(ObjectKey.of(vm.id()));
    }
}
