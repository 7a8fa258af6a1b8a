package org.foxtailplank.internal.wave;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** Availability budgets of all services; accounts for pending intents and failures. */
public final class AvailabilityBudgets {

    private final Map<PoolId, AvailabilityBudget> mByPool = new HashMap<>();

    private AvailabilityBudgets() {}

    /** Computes the budgets from one pass over the fleet. */
    public static AvailabilityBudgets of(FleetView view, Observation observation) {
        AvailabilityBudgets budgets = new AvailabilityBudgets();
        Map<ServiceId, Integer> demand = new HashMap<>();
        for (PoolState pool : view.pools()) {
            pool.service()
                    .ifPresent(s -> demand.merge(s, demandOf(pool, observation), Integer::sum));
        }
        Map<ServiceId, AvailabilityBudget> byService = new HashMap<>();
        for (PoolState pool : view.pools()) {
            AvailabilityBudget budget =
                    pool.service()
                            .map(
                                    s ->
                                            byService.computeIfAbsent(
                                                    s,
                                                    k ->
                                                            new AvailabilityBudget(
                                                                    "service " + k,
                                                                    view.minAvailable(k),
                                                                    demand.get(k))))
                            .orElseGet(() -> ofJobs(pool, observation));
            budgets.mByPool.put(pool.id(), budget);
        }
        for (VmState vm : view.vms()) {
            budgets.count(vm, observation);
        }
        return budgets;
    }

    /** Returns the budget of a pool without a service: only its demand limits stops. */
    private static AvailabilityBudget ofJobs(PoolState pool, Observation observation) {
        return new AvailabilityBudget("pool " + pool.id(), 0, demandOf(pool, observation));
    }

    private static int demandOf(PoolState pool, Observation observation) {
        var use = observation.use().get(pool.id());
        return use == null ? 0 : (int) Math.ceil(use.vms());
    }

    private void count(VmState vm, Observation observation) {
        AvailabilityBudget budget = mByPool.get(vm.pool());
        if (budget == null) {
            return;
        }
        if (vm.phase() != VmPhase.OFF && vm.phase() != VmPhase.RELEASING) {
            budget.addPowered();
        }
        if (serves(vm, observation)) {
            budget.add(vm.rack());
        }
    }

    /**
     * Returns whether a VM counts as serving.
     *
     * <p>A VM with an intended stop does not count, whoever wrote the intent: a controller that was
     * paused after writing it may still execute the stop.
     */
    public static boolean serves(VmState vm, Observation observation) {
        boolean stopping = vm.pending().isPresent() && vm.pending().get() != VmAction.WAKE;
        return vm.phase() == VmPhase.SERVING
                && !stopping
                && !observation.notServing().contains(vm.id());
    }

    public AvailabilityBudget of(PoolId pool) {
        return mByPool.get(pool);
    }

    Collection<AvailabilityBudget> all() {
        return mByPool.values();
    }
}
