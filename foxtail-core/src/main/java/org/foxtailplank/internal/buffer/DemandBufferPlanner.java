package org.foxtailplank.internal.buffer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailplank.fleet.BufferHistory;
import org.foxtailplank.fleet.BufferPlan;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.PoolSizing;
import org.foxtailplank.fleet.PoolUse;
import org.foxtailplank.fleet.VmMove;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.wave.AvailabilityBudget;
import org.foxtailplank.internal.wave.AvailabilityBudgets;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmState;

/**
 * Wakes VMs for the growth of demand during one wake, and puts VMs to sleep after a sustained
 * surplus.
 */
public final class DemandBufferPlanner implements BufferPlanner {

    /** Age, in wake times, from which a measurement is stale. */
    private static final int STALE_WAKES = 10;

    /** Minimum duration of a surplus, in wake times, before VMs are put to sleep. */
    private static final int MIN_SURPLUS_WAKES = 3;

    private final FleetSettings mSettings;
    private final long mWakeMs;

    public DemandBufferPlanner(FleetSettings settings) {
        mSettings = settings;
        mWakeMs = settings.wakeTime().toMillis();
    }

    @Override
    public BufferPlan plan(
            FleetView view, Observation observation, BufferHistory history, long nowMs) {
        AvailabilityBudgets budgets = AvailabilityBudgets.of(view, observation);
        WavePools cover = WavePools.of(view);
        Map<PoolId, Integer> incoming = incoming(view);
        Map<PoolId, PoolHistory> pools = new HashMap<>();
        Map<PoolId, PoolSizing> poolSizings = new TreeMap<>();
        Map<PoolId, PoolRacks> racksOf = new TreeMap<>();
        List<VmId> wake = new ArrayList<>();
        List<VmId> sleep = new ArrayList<>();
        List<PoolState> sortedPools =
                view.pools().stream().sorted(Comparator.comparing(PoolState::id)).toList();
        for (PoolState pool : sortedPools) {
            PoolHistory before = history.pools().getOrDefault(pool.id(), PoolHistory.none());
            PoolRacks racks = PoolRacks.of(view.vmsOf(pool.id()), observation);
            DemandEstimate demand = estimate(before.demand(), pool, observation, nowMs);
            double surge = cover.contains(pool.id()) ? mSettings.rolloutWeight() : -1;
            PoolSizingInputs inputs =
                    sizingInputs(pool, demand, budgets.of(pool.id()), racks, surge, nowMs);
            poolSizings.put(pool.id(), inputs.toPoolSizing(racks));
            int arriving = incoming.getOrDefault(pool.id(), 0);
            PoolHistory after = nextHistory(before, demand, inputs, racks, arriving, nowMs);
            wake.addAll(wake(racks, inputs));
            int lasting = after.surplus().sustained(nowMs, MIN_SURPLUS_WAKES * mWakeMs);
            sleep.addAll(sleep(racks, inputs, budgets.of(pool.id()), lasting));
            pools.put(pool.id(), lasting > 0 ? after.afterSleep() : after);
            racksOf.put(pool.id(), racks);
        }
        Map<VmId, Long> moved = recentMoves(history.moved(), nowMs);
        List<VmMove> moves = new PoolMover(mSettings, pools, racksOf, moved).moves(nowMs);
        for (VmMove move : moves) {
            moved.put(move.vm(), nowMs);
            pools.computeIfPresent(move.from(), (id, h) -> h.afterMove());
            pools.computeIfPresent(move.to(), (id, h) -> h.afterMove());
        }
        return new BufferPlan(wake, sleep, moves, poolSizings, new BufferHistory(pools, moved));
    }

    private DemandEstimate estimate(
            DemandEstimate before, PoolState pool, Observation observation, long nowMs) {
        PoolUse use = observation.use().get(pool.id());
        if (use == null) {
            return before;
        }
        long lag = Math.max(0, nowMs - use.atMs());
        return before.update(use, mWakeMs + Math.min(lag, STALE_WAKES * mWakeMs));
    }

    private PoolSizingInputs sizingInputs(
            PoolState pool,
            DemandEstimate demand,
            AvailabilityBudget budget,
            PoolRacks racks,
            double surge,
            long nowMs) {
        int othersServe = Math.max(0, budget.serving() - racks.onCount());
        long stale = STALE_WAKES * mWakeMs;
        return new PoolSizingInputs(
                demand.demandAt(pool.target(), nowMs, stale)
                        * demand.saturationFactor(racks.servingCount()),
                demand.growth(),
                Math.max(0, budget.minAvailable() - othersServe),
                pool.reserve(),
                surge,
                racks.availableCount(),
                demand.isFresh(nowMs, stale));
    }

    private static PoolHistory nextHistory(
            PoolHistory before,
            DemandEstimate demand,
            PoolSizingInputs inputs,
            PoolRacks racks,
            int arriving,
            long nowMs) {
        int largest = racks.largestRackSize();
        int surplus = racks.onCount() - inputs.bounded(largest);
        int shortage = inputs.required(largest) - racks.availableCount() - arriving;
        int spare = racks.availableCount() - inputs.unbounded(largest);
        return new PoolHistory(
                demand,
                before.surplus().update(surplus, nowMs),
                before.shortage().update(shortage, nowMs),
                before.spare().update(spare, nowMs));
    }

    private static Map<PoolId, Integer> incoming(FleetView view) {
        Map<PoolId, Integer> incoming = new HashMap<>();
        view.vms().forEach(vm -> vm.joining().ifPresent(p -> incoming.merge(p, 1, Integer::sum)));
        return incoming;
    }

    private static List<VmId> wake(PoolRacks racks, PoolSizingInputs inputs) {
        List<VmId> wake = new ArrayList<>();
        while (racks.onCount() < inputs.bounded(racks.largestRackSize())) {
            Optional<VmState> vm = racks.takeForWake();
            if (vm.isEmpty()) {
                break;
            }
            wake.add(vm.get().id());
        }
        return wake;
    }

    /** Selects VMs to put to sleep, at most the sustained surplus and within the budget. */
    private static List<VmId> sleep(
            PoolRacks racks, PoolSizingInputs inputs, AvailabilityBudget budget, int lasting) {
        List<VmId> sleep = new ArrayList<>();
        while (sleep.size() < lasting
                && racks.onCount() > inputs.bounded(racks.largestRackSize())) {
            Optional<VmState> vm = racks.nextToStop();
            if (vm.isEmpty()) {
                break;
            }
            if (budget.canStop(vm.get().rack())) {
                budget.stop(vm.get().rack());
                racks.markStopped(vm.get());
                sleep.add(vm.get().id());
            } else {
                racks.exclude(vm.get());
            }
        }
        return sleep;
    }

    private Map<VmId, Long> recentMoves(Map<VmId, Long> moved, long nowMs) {
        Map<VmId, Long> recent = new HashMap<>(moved);
        recent.values().removeIf(t -> nowMs - t >= mSettings.moveCooldown().toMillis());
        return recent;
    }
}
