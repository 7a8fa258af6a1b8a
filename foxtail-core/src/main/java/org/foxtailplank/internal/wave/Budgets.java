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

/** The availability budgets of all services, with every pending intent and failure counted. */
public final class Budgets {

    private final Map<PoolId, Budget> mByPool = new HashMap<>();

    private Budgets() {}

    /** Counts the fleet once. */
    public static Budgets of(FleetView view, Observation seen) {
        Budgets budgets = new Budgets();
        Map<ServiceId, Integer> demand = new HashMap<>();
        for (PoolState pool : view.pools()) {
            pool.service().ifPresent(s -> demand.merge(s, demandOf(pool, seen), Integer::sum));
        }
        Map<ServiceId, Budget> byService = new HashMap<>();
        for (PoolState pool : view.pools()) {
            Budget budget =
                    pool.service()
                            .map(
                                    s ->
                                            byService.computeIfAbsent(
                                                    s,
                                                    k ->
                                                            new Budget(
                                                                    "service " + k,
                                                                    view.minAvailable(k),
                                                                    demand.get(k))))
                            .orElseGet(() -> ofJobs(pool, seen));
            budgets.mByPool.put(pool.id(), budget);
        }
        for (VmState vm : view.vms()) {
            budgets.count(vm, seen);
        }
        return budgets;
    }

    /** A pool that runs jobs and no service has no availability budget, only a demand. */
    private static Budget ofJobs(PoolState pool, Observation seen) {
        return new Budget("pool " + pool.id(), 0, demandOf(pool, seen));
    }

    private static int demandOf(PoolState pool, Observation seen) {
        var use = seen.use().get(pool.id());
        return use == null ? 0 : (int) Math.ceil(use.vms());
    }

    private void count(VmState vm, Observation seen) {
        Budget budget = mByPool.get(vm.pool());
        if (budget == null) {
            return;
        }
        if (vm.phase() != VmPhase.OFF && vm.phase() != VmPhase.RELEASING) {
            budget.addPowered();
        }
        if (serves(vm, seen)) {
            budget.add(vm.rack());
        }
    }

    /**
     * Whether a VM counts as serving.
     *
     * <p>An intended stop counts as one from its offset on, whoever wrote it: a controller that was
     * paused after its intent may still act on it, so its stop is already paid for.
     */
    public static boolean serves(VmState vm, Observation seen) {
        boolean stopping = vm.pending().isPresent() && vm.pending().get() != VmAction.WAKE;
        return vm.phase() == VmPhase.SERVING && !stopping && !seen.notServing().contains(vm.id());
    }

    public Budget of(PoolId pool) {
        return mByPool.get(pool);
    }

    Collection<Budget> all() {
        return mByPool.values();
    }
}
