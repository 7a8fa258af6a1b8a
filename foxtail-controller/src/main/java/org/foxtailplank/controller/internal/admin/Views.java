package org.foxtailplank.controller.internal.admin;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveState;

/** JSON views of the objects in the state. */
final class Views {
    private Views() {}

    record ConfigView(
            long version, String base, Map<String, String> overlays, String who, String why) {
        static ConfigView of(Configuration c) {
            Map<String, String> overlays =
                    c.overlays().entrySet().stream()
                            .collect(
                                    Collectors.toMap(e -> e.getKey().value(), Map.Entry::getValue));
            return new ConfigView(
                    c.version(), c.base(), overlays, c.author().who(), c.author().why());
        }
    }

    record PoolView(
            String id,
            Optional<String> service,
            int target,
            int reserve,
            long version,
            int vms,
            long serving,
            long on) {
        static PoolView of(FleetView view, PoolState pool) {
            Collection<VmState> vms = view.vmsOf(pool.id());
            return new PoolView(
                    pool.id().value(),
                    pool.service().map(s -> s.value()),
                    pool.target(),
                    pool.reserve(),
                    pool.version(),
                    vms.size(),
                    count(vms, vm -> vm.phase() == VmPhase.SERVING),
                    count(vms, vm -> vm.phase() != VmPhase.OFF));
        }
    }

    record VmView(
            String id,
            String zone,
            String rack,
            String pool,
            long poolGeneration,
            VmPhase phase,
            long generation,
            Optional<String> pending,
            Optional<String> wave,
            Optional<String> joining,
            long lastMaintained,
            long version) {
        static VmView of(VmState vm) {
            return new VmView(
                    vm.id().value(),
                    vm.zone().value(),
                    vm.rack().value(),
                    vm.pool().value(),
                    vm.poolGeneration(),
                    vm.phase(),
                    vm.generation(),
                    vm.pending().map(Enum::name),
                    vm.wave().map(w -> w.value()),
                    vm.joining().map(p -> p.value()),
                    vm.lastMaintained(),
                    vm.version());
        }
    }

    record WaveView(
            String id,
            List<String> zones,
            List<String> pools,
            List<String> finished,
            String phase,
            String who,
            String why,
            long started,
            long version,
            long vms,
            long maintained,
            long underWay) {
        static WaveView of(FleetView view, WaveState wave) {
            List<VmState> vms = view.vms().stream().filter(vm -> covers(wave, vm)).toList();
            return new WaveView(
                    wave.id().value(),
                    names(wave.zones()),
                    names(wave.pools()),
                    names(wave.finished()),
                    wave.phase().name(),
                    wave.lastOrder().who(),
                    wave.lastOrder().why(),
                    wave.started(),
                    wave.version(),
                    vms.size(),
                    count(vms, vm -> vm.lastMaintained() > wave.started()),
                    count(vms, vm -> vm.wave().filter(wave.id()::equals).isPresent()));
        }

        private static boolean covers(WaveState wave, VmState vm) {
            return wave.zones().contains(vm.zone())
                    && (wave.pools().isEmpty() || wave.pools().contains(vm.pool()));
        }
    }

    record TaskView(
            int task, String worker, long attempt, String action, Optional<TaskOutcome> outcome) {}

    record JobView(
            String id,
            String team,
            String pool,
            String urgency,
            int processors,
            long memoryBytes,
            int accelerators,
            int tasks,
            boolean cancelled,
            List<TaskView> placed,
            long version) {
        static JobView of(JobState job) {
            List<TaskView> placed =
                    job.tasks().entrySet().stream()
                            .sorted(Map.Entry.comparingByKey())
                            .map(
                                    e ->
                                            new TaskView(
                                                    e.getKey(),
                                                    e.getValue().worker().value(),
                                                    e.getValue().attempt(),
                                                    e.getValue().action().name(),
                                                    e.getValue().outcome()))
                            .toList();
            return new JobView(
                    job.id().value(),
                    job.spec().team().value(),
                    job.spec().pool().value(),
                    job.spec().urgency().text(),
                    job.spec().processors(),
                    job.spec().memoryBytes(),
                    job.spec().accelerators(),
                    job.spec().tasks(),
                    job.cancelled(),
                    placed,
                    job.version());
        }
    }

    record TeamView(String id, double quota, String role, long version) {}

    record NodeView(
            String id,
            String zone,
            String admin,
            long silenceMs,
            Optional<Long> configVersion,
            Optional<Long> nextOffset,
            List<ShardView> shards) {}

    record ShardView(String zone, long epoch, Optional<String> holder) {
        static ShardView of(FleetView view, ZoneId zone) {
            var epoch = view.epoch(zone);
            return new ShardView(zone.value(), epoch.number(), epoch.holder().map(n -> n.value()));
        }
    }

    /**
     * One page of a list.
     *
     * @param offset log offset of the state
     * @param items items of the page
     * @param next value of {@code after} for the next page; empty on the last page
     */
    record Page<T>(long offset, List<T> items, Optional<String> next) {}

    /** Returns the view of an object, for the response to a conflicting change. */
    static Object current(FleetView view, ObjectKey key) {
        return switch (key.kind()) {
            case CONFIGURATION -> view.configuration().map(ConfigView::of).orElse(null);
            case SHARD -> ShardView.of(view, ZoneId.of(key.name()));
            case VM ->
                    view.vms().stream()
                            .filter(vm -> vm.id().value().equals(key.name()))
                            .findFirst()
                            .map(VmView::of)
                            .orElse(null);
            case POOL ->
                    view.pools().stream()
                            .filter(p -> p.id().value().equals(key.name()))
                            .findFirst()
                            .map(p -> PoolView.of(view, p))
                            .orElse(null);
            case TEAM -> new VersionView(key.name(), view.version(key));
            case WAVE ->
                    view.waves().stream()
                            .filter(w -> w.id().value().equals(key.name()))
                            .findFirst()
                            .map(w -> WaveView.of(view, w))
                            .orElse(null);
            case JOB ->
                    view.jobs().stream()
                            .filter(j -> j.id().value().equals(key.name()))
                            .findFirst()
                            .map(JobView::of)
                            .orElse(null);
        };
    }

    /** View of an object for which the state holds only a version. */
    record VersionView(String id, long version) {}

    private static long count(Collection<VmState> vms, Predicate<VmState> predicate) {
        return vms.stream().filter(predicate).count();
    }

    private static List<String> names(Collection<?> ids) {
        return ids.stream().map(Object::toString).sorted().toList();
    }
}
