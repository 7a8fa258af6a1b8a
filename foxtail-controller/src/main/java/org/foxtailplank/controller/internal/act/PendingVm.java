package org.foxtailplank.controller.internal.act;

import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/**
 * A VM that waits for a controller to go on.
 *
 * @param vm the VM as folded from the log
 * @param tasks tasks that it may be running
 * @param willServe whether its pool runs a service, so that a backend server is expected on it
 */
record PendingVm(VmState vm, int tasks, boolean willServe) {
    static PendingVm of(FleetView view, VmState vm, int tasks) {
        boolean willServe = view.pool(vm.pool()).flatMap(PoolState::service).isPresent();
        return new PendingVm(vm, tasks, willServe);
    }

    /** Whether a controller has to go on with a VM. */
    static boolean isDue(FleetView view, VmState vm) {
        boolean due = vm.pending().isPresent() || vm.phase() == VmPhase.RELEASING;
        return due && !view.isFrozen(ObjectKey.of(vm.id()));
    }
}
