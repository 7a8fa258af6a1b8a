package org.foxtailplank.controller.internal.act;

import org.foxtailplank.id.PoolId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/**
 * A VM that waits for a controller to go on.
 *
 * @param vm the VM as folded from the log
 * @param hasInstance whether its pool runs a service, so that a backend server is expected on it
 * @param willServe whether the pool that it will belong to after the action runs a service
 */
record PendingVm(VmState vm, boolean hasInstance, boolean willServe) {
    static PendingVm of(FleetView view, VmState vm) {
        PoolId next = vm.joining().orElse(vm.pool());
        return new PendingVm(vm, hasService(view, vm.pool()), hasService(view, next));
    }

    /** Whether a controller has to go on with a VM. */
    static boolean isDue(FleetView view, VmState vm) {
        boolean joins = vm.phase() == VmPhase.RELEASED || vm.phase() == VmPhase.OFF;
        boolean due = vm.pending().isPresent() || joins && vm.joining().isPresent();
        return due && !view.isFrozen(ObjectKey.of(vm.id()));
    }

    private static boolean hasService(FleetView view, PoolId pool) {
        return view.pool(pool).flatMap(PoolState::service).isPresent();
    }
}
