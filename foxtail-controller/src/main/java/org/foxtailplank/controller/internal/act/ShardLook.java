package org.foxtailplank.controller.internal.act;

import java.util.List;
import java.util.OptionalLong;
import org.foxtailplank.controller.internal.plan.PlannedChange;
import org.foxtailplank.controller.internal.plan.ShardPlanner;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/**
 * What a shard needs of the state, read in one go.
 *
 * @param epoch who may act
 * @param pending VMs whose next step is due
 * @param planned changes to be written; empty where another node holds the epoch
 */
record ShardLook(EpochState epoch, List<PendingVm> pending, List<PlannedChange> planned) {
    static ShardLook of(FleetView view, ZoneId zone, OptionalLong held, ShardPlanner planner) {
        EpochState epoch = view.epoch(zone);
        boolean acts = held.isPresent() && held.getAsLong() == epoch.number();
        if (!acts || view.configuration().isEmpty()) {
            return new ShardLook(epoch, List.of(), List.of());
        }
        List<PendingVm> pending =
                view.vms().stream()
                        .filter(vm -> vm.zone().equals(zone) && isPending(vm))
                        .map(vm -> new PendingVm(vm, hasService(view, vm)))
                        .toList();
        return new ShardLook(epoch, pending, planner.plan(view, zone));
    }

    private static boolean isPending(VmState vm) {
        return vm.pending().isPresent()
                || vm.phase() == VmPhase.RELEASING && vm.joining().isPresent();
    }

    private static boolean hasService(FleetView view, VmState vm) {
        return view.pool(vm.pool()).flatMap(PoolState::service).isPresent();
    }
}
