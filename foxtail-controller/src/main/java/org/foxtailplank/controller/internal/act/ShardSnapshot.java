package org.foxtailplank.controller.internal.act;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.controller.internal.plan.LiveTasks;
import org.foxtailplank.controller.internal.plan.PlannedChange;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmState;

/**
 * A consistent read of the state that a shard needs.
 *
 * @param epoch current epoch of the shard
 * @param pending VMs whose next step is due
 * @param plannedChanges changes to be written; empty if nothing was planned
 * @param planningTime time spent on planning
 */
record ShardSnapshot(
        EpochState epoch,
        List<PendingVm> pending,
        Optional<List<PlannedChange>> plannedChanges,
        Duration planningTime) {
    /** Reads the state of a shard without planning. */
    static ShardSnapshot of(FleetView view, ZoneId zone) {
        List<VmState> due =
                view.vms().stream()
                        .filter(vm -> vm.zone().equals(zone) && PendingVm.isDue(view, vm))
                        .toList();
        Map<VmId, Integer> tasks = due.isEmpty() ? Map.of() : LiveTasks.byWorker(view);
        List<PendingVm> pending =
                due.stream()
                        .map(vm -> PendingVm.of(view, vm, tasks.getOrDefault(vm.id(), 0)))
                        .toList();
        return new ShardSnapshot(view.epoch(zone), pending, Optional.empty(), Duration.ZERO);
    }

    /** Returns a copy with the changes planned from the same state. */
    ShardSnapshot withPlan(List<PlannedChange> changes, Duration planning) {
        return new ShardSnapshot(epoch, pending, Optional.of(changes), planning);
    }
}
