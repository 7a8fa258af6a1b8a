package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.wave.AvailabilityBudgets;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** The baseline: declared targets with fixed spares, one VM at a time, no hysteresis, first fit. */
final class NaiveCapacity implements CapacityPolicy {

    private static final double FIXED_SPARES = 0.1;

    private static final Comparator<VmState> BY_ID = Comparator.comparing(VmState::id);

    @Override
    public String name() {
        return "naive";
    }

    @Override
    public List<Change> waves(FleetView view, Observation seen, long nowMs) {
        List<Change> changes = new ArrayList<>();
        for (WaveState wave : view.waves()) {
            if (wave.phase() == WavePhase.RUNNING) {
                next(view, wave, seen).ifPresent(changes::add);
            }
        }
        return changes;
    }

    private static Optional<Change> next(FleetView view, WaveState wave, Observation seen) {
        boolean busy =
                view.vms().stream()
                        .anyMatch(v -> v.pending().filter(VmAction.REBOOT::equals).isPresent());
        if (busy) {
            return Optional.empty();
        }
        List<VmState> waiting =
                view.vms().stream()
                        .filter(v -> v.phase() == VmPhase.SERVING)
                        .filter(v -> !seen.notServing().contains(v.id()))
                        .filter(v -> v.lastMaintained() <= wave.started())
                        .toList();
        AvailabilityBudgets budgets = AvailabilityBudgets.of(view, seen);
        Optional<VmState> first =
                waiting.stream().filter(v -> budgets.of(v.pool()).canStop(v.rack())).min(BY_ID);
        if (waiting.isEmpty()) {
            return wave.zones().stream()
                    .filter(z -> !wave.finished().contains(z))
                    .min(ZoneId::compareTo)
                    .map(z -> new WaveFinished(wave.id(), z));
        }
        return first.map(
                v -> Changes.intend(view, v.id(), VmAction.REBOOT, Optional.of(wave.id())));
    }

    @Override
    public List<Change> buffer(FleetView view, Observation seen, long nowMs) {
        List<Change> changes = new ArrayList<>();
        Map<PoolId, Integer> missing = new HashMap<>();
        Map<PoolId, List<VmState>> idle = new TreeMap<>();
        for (PoolState pool : inOrder(view)) {
            int wanted = wanted(view, pool);
            List<VmState> off = in(view, pool, VmPhase.OFF);
            List<VmState> serving = in(view, pool, VmPhase.SERVING);
            int on = serving.size() + in(view, pool, VmPhase.WAKING).size();
            int wakes = Math.max(0, Math.min(wanted - on, off.size()));
            off.subList(0, wakes).forEach(v -> changes.add(act(view, v, VmAction.WAKE)));
            int sleeps = Math.max(0, Math.min(on - wanted, serving.size()));
            serving.subList(0, sleeps).forEach(v -> changes.add(act(view, v, VmAction.SLEEP)));
            missing.put(pool.id(), wanted - on - off.size());
            idle.put(pool.id(), new ArrayList<>(off.subList(wakes, off.size())));
        }
        for (PoolState pool : inOrder(view)) {
            move(pool.id(), missing.get(pool.id()), idle, changes);
        }
        return changes;
    }

    private static List<PoolState> inOrder(FleetView view) {
        return view.pools().stream().sorted(Comparator.comparing(PoolState::id)).toList();
    }

    private static int wanted(FleetView view, PoolState pool) {
        int floor = pool.service().map(view::minAvailable).orElse(0);
        int size = view.vmsOf(pool.id()).size();
        int spares = (int) Math.max(pool.reserve(), Math.ceil(FIXED_SPARES * size));
        return Math.max(pool.target(), floor) + spares;
    }

    private static Change act(FleetView view, VmState vm, VmAction action) {
        return Changes.intend(view, vm.id(), action, Optional.empty());
    }

    private static List<VmState> in(FleetView view, PoolState pool, VmPhase phase) {
        return view.vmsOf(pool.id()).stream()
                .filter(v -> v.phase() == phase)
                .filter(v -> v.pending().isEmpty() || phase == VmPhase.WAKING)
                .filter(v -> v.joining().isEmpty())
                .sorted(BY_ID)
                .toList();
    }

    private static void move(
            PoolId to, int missing, Map<PoolId, List<VmState>> idle, List<Change> changes) {
        int left = missing;
        for (Map.Entry<PoolId, List<VmState>> e : idle.entrySet()) {
            while (left > 0 && !e.getKey().equals(to) && !e.getValue().isEmpty()) {
                VmState vm = e.getValue().remove(0);
                changes.add(new VmReleased(vm.id(), e.getKey(), to, Changes.AUTHOR));
                left--;
            }
        }
    }
}
