package org.foxtailplank.controller.internal.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Author;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** The simplest plan that keeps every budget: one VM of the zone at a time. */
public final class OneVmPlanner implements ShardPlanner {
    private final Author mAuthor;

    /** A plan whose intents name this author. */
    public OneVmPlanner(Author author) {
        mAuthor = author;
    }

    @Override
    public List<PlannedChange> plan(FleetView view, ZoneId zone) {
        List<VmState> vms =
                view.vms().stream()
                        .filter(vm -> vm.zone().equals(zone))
                        .sorted(Comparator.comparing(VmState::id))
                        .toList();
        Optional<PlannedChange> reassign =
                vms.stream().filter(OneVmPlanner::isJoined).findFirst().map(this::reassign);
        if (reassign.isPresent()) {
            return List.of(reassign.get());
        }
        if (vms.stream().anyMatch(OneVmPlanner::isUnderWay)) {
            return List.of();
        }
        return Stream.of(finishedWaves(view, vms, zone), waveStep(view, vms), resize(view, vms))
                .filter(changes -> !changes.isEmpty())
                .findFirst()
                .orElse(List.of());
    }

    private static boolean isJoined(VmState vm) {
        return vm.phase() == VmPhase.RELEASING && vm.joining().isEmpty() && vm.pending().isEmpty();
    }

    private static boolean isUnderWay(VmState vm) {
        return vm.pending().isPresent() || vm.phase() == VmPhase.RELEASING;
    }

    private PlannedChange reassign(VmState vm) {
        return intend(vm, VmAction.REASSIGN, Optional.empty(), "joined " + vm.pool());
    }

    private List<PlannedChange> finishedWaves(FleetView view, List<VmState> vms, ZoneId zone) {
        List<PlannedChange> done = new ArrayList<>();
        for (WaveState wave : view.waves()) {
            boolean running =
                    wave.phase() == WavePhase.RUNNING
                            && wave.zones().contains(zone)
                            && !wave.finished().contains(zone);
            if (running && vms.stream().noneMatch(isDue(wave))) {
                ObjectKey key = ObjectKey.of(wave.id());
                Change change = new WaveFinished(wave.id(), zone);
                done.add(new PlannedChange(change, Map.of(key, wave.version())));
            }
        }
        return done;
    }

    private List<PlannedChange> waveStep(FleetView view, List<VmState> vms) {
        for (WaveState wave : view.waves()) {
            if (wave.phase() != WavePhase.RUNNING) {
                continue;
            }
            Optional<VmState> next =
                    vms.stream().filter(isDue(wave)).filter(vm -> maySpare(view, vm)).findFirst();
            if (next.isPresent()) {
                return List.of(wave(next.get(), wave));
            }
        }
        return List.of();
    }

    private PlannedChange wave(VmState vm, WaveState wave) {
        PlannedChange step = intend(vm, VmAction.REBOOT, Optional.of(wave.id()), "wave");
        return new PlannedChange(
                step.change(),
                Map.of(
                        ObjectKey.of(vm.id()), vm.version(),
                        ObjectKey.of(wave.id()), wave.version()));
    }

    private static Predicate<VmState> isDue(WaveState wave) {
        return vm ->
                wave.zones().contains(vm.zone())
                        && (wave.pools().isEmpty() || wave.pools().contains(vm.pool()))
                        && vm.phase() == VmPhase.SERVING
                        && vm.lastMaintained() < wave.started();
    }

    private static boolean maySpare(FleetView view, VmState vm) {
        Optional<PoolState> pool = view.pool(vm.pool());
        if (pool.isEmpty() || pool.get().service().isEmpty()) {
            return true;
        }
        long serving =
                view.pools().stream()
                        .filter(p -> p.service().equals(pool.get().service()))
                        .flatMap(p -> view.vmsOf(p.id()).stream())
                        .filter(v -> v.phase() == VmPhase.SERVING)
                        .count();
        return serving > view.minAvailable(pool.get().service().get());
    }

    private List<PlannedChange> resize(FleetView view, List<VmState> vms) {
        for (PoolState pool : view.pools()) {
            List<VmState> all = List.copyOf(view.vmsOf(pool.id()));
            long on = all.stream().filter(vm -> vm.phase() != VmPhase.OFF).count();
            long wanted = pool.target() + pool.reserve();
            Optional<PlannedChange> change = Optional.empty();
            if (on < wanted) {
                change =
                        inPool(vms, pool.id(), VmPhase.OFF)
                                .findFirst()
                                .map(vm -> resize(vm, VmAction.WAKE, pool));
            } else if (on > wanted) {
                change =
                        inPool(vms, pool.id(), VmPhase.SERVING)
                                .filter(vm -> maySpare(view, vm))
                                .findFirst()
                                .map(vm -> resize(vm, VmAction.SLEEP, pool));
            }
            if (change.isPresent()) {
                return List.of(change.get());
            }
        }
        return List.of();
    }

    private static Stream<VmState> inPool(List<VmState> vms, PoolId pool, VmPhase phase) {
        return vms.stream().filter(vm -> vm.pool().equals(pool) && vm.phase() == phase);
    }

    // Two zones that resize one pool at once would both wake a VM for the same gap. Both name the
    // pool's version; the fold leaves it as it is, so the surplus is put to sleep again later.
    private PlannedChange resize(VmState vm, VmAction action, PoolState pool) {
        String why = "target of " + pool.id() + " is " + (pool.target() + pool.reserve());
        PlannedChange step = intend(vm, action, Optional.empty(), why);
        return new PlannedChange(
                step.change(),
                Map.of(
                        ObjectKey.of(vm.id()), vm.version(),
                        ObjectKey.of(pool.id()), pool.version()));
    }

    private PlannedChange intend(VmState vm, VmAction action, Optional<WaveId> wave, String why) {
        Change change =
                new VmActionIntended(
                        vm.id(), action, vm.generation() + 1, wave, new Author(mAuthor.who(), why));
        return new PlannedChange(change, Map.of(ObjectKey.of(vm.id()), vm.version()));
    }
}
