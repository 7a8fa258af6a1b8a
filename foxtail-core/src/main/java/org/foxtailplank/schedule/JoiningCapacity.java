package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.VmClient.VmPhase;

/** Computes which VMs join a pool and when. */
final class JoiningCapacity {
    /** Time from the decision to move a VM until its worker can be used, in milliseconds. */
    private static final long MOVE_MS = 2000;

    /** Time from the call for a move until the worker can be used, in milliseconds. */
    private static final long CALL_MS = 1800;

    /** Time from the end of a move until the worker can be used, in milliseconds. */
    private static final long JOIN_MS = 500;

    /** VMs that join within this period are reported together, in milliseconds. */
    private static final long PERIOD_MS = 500;

    private static final Optional<Long> STANDBY = Optional.of(MOVE_MS);

    private final Scheduler mScheduler;
    private final ManagedVms mVms;

    JoiningCapacity(Scheduler scheduler, ManagedVms vms) {
        mScheduler = scheduler;
        mVms = vms;
    }

    /**
     * Capacity that joins a service's pool, in the order of time. Idle VMs of the standby pool
     * count, as they move as soon as accepted jobs need them; otherwise the first jobs of a burst
     * would be refused, and no VM would move.
     *
     * @param capacity how the capacity for the service's batch tasks is counted
     */
    List<Joining> of(String service, BatchCapacity capacity, FleetConfig config, long nowMs) {
        return sum(
                capacity,
                vm ->
                        joinsAfterMs(vm, service, nowMs)
                                .or(
                                        () ->
                                                isIdleInStandby(vm, config)
                                                        ? STANDBY
                                                        : Optional.empty()));
    }

    /**
     * Capacity of the VMs that move to a service's pool, in the order of time. Those that are to
     * move don't count, as nobody knows when their last runs will have ended.
     *
     * @param capacity how the capacity for the service's batch tasks is counted
     */
    List<Joining> moving(String service, BatchCapacity capacity, long nowMs) {
        return sum(
                capacity,
                vm ->
                        vm.planned().isPresent()
                                ? Optional.empty()
                                : joinsAfterMs(vm, service, nowMs));
    }

    private List<Joining> sum(
            BatchCapacity capacity, Function<ManagedVm, Optional<Long>> joinsAfterMs) {
        Map<Long, Long> milliCores = new TreeMap<>();
        for (ManagedVm vm : mVms.all()) {
            joinsAfterMs
                    .apply(vm)
                    .ifPresent(
                            ms ->
                                    milliCores.merge(
                                            (ms + PERIOD_MS - 1) / PERIOD_MS * PERIOD_MS,
                                            Math.max(0, capacity.milliCores(vm.info().capacity())),
                                            Long::sum));
        }
        List<Joining> joining = new ArrayList<>();
        milliCores.forEach((ms, c) -> joining.add(new Joining(ms, c)));
        return joining;
    }

    private static boolean isIdleInStandby(ManagedVm vm, FleetConfig config) {
        return config.isStandby(vm.info().pool()) && vm.isFree();
    }

    private boolean isAwaitingEntry(ManagedVm vm) {
        return mScheduler
                .worker(vm.info().worker())
                .filter(WorkerState::isAwaitingEntry)
                .isPresent();
    }

    private Optional<Long> joinsAfterMs(ManagedVm vm, String service, long nowMs) {
        boolean inPool = vm.info().pool().equals(service);
        long sinceMoveMs = nowMs - vm.lastMoveMs();
        if (vm.planned().isPresent()) {
            boolean joins =
                    vm.planned().get() instanceof PlannedVmAction.Move move
                            && move.pool().equals(service);
            long afterMs = Math.max(CALL_MS, MOVE_MS - (nowMs - vm.plannedMs()));
            return joins ? Optional.of(afterMs) : Optional.empty();
        }
        if (inPool && vm.info().phase() == VmPhase.MOVING) {
            return Optional.of(Math.max(JOIN_MS, CALL_MS - sinceMoveMs));
        }
        if (inPool && vm.isFree() && mScheduler.worker(vm.info().worker()).isEmpty()) {
            return Optional.of(Math.max(0, Math.min(JOIN_MS, CALL_MS - sinceMoveMs)));
        }
        if (inPool && vm.isFree() && isAwaitingEntry(vm)) {
            return Optional.of(JOIN_MS);
        }
        return Optional.empty();
    }
}
