package org.foxtailplank.wire.internal.records;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.FleetSnapshot;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.RecordWindowContents;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;
import org.foxtailplank.state.TeamQuota;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveState;
import org.foxtailplank.wire.StoredState;
import org.foxtailplank.wire.generated.snapshot.ConfigurationProto;
import org.foxtailplank.wire.generated.snapshot.EpochStateProto;
import org.foxtailplank.wire.generated.snapshot.JobProto;
import org.foxtailplank.wire.generated.snapshot.PoolProto;
import org.foxtailplank.wire.generated.snapshot.SnapshotProto;
import org.foxtailplank.wire.generated.snapshot.TaskProto;
import org.foxtailplank.wire.generated.snapshot.VmProto;
import org.foxtailplank.wire.generated.snapshot.WaveProto;

/** Decodes a state from protobuf; throws {@link RuntimeException} if it is malformed. */
public final class SnapshotDecoder {
    private final Map<Integer, ZoneId> mZones = new HashMap<>();
    private final Map<Integer, RackId> mRacks = new HashMap<>();
    private final Map<Integer, PoolId> mPools = new HashMap<>();
    private final Map<Integer, WaveId> mWaves = new HashMap<>();
    private final SnapshotProto mProto;

    private SnapshotDecoder(SnapshotProto proto) {
        mProto = proto;
    }

    /** Decodes a state. */
    public static StoredState decode(SnapshotProto p) {
        SnapshotDecoder d = new SnapshotDecoder(p);
        Map<PoolId, PoolDefinition> poolDefinitions = new HashMap<>();
        p.getShapesMap()
                .forEach(
                        (id, s) ->
                                poolDefinitions.put(PoolId.of(id), FleetTopologyCodec.decode(s)));
        Map<ServiceId, Integer> min = new HashMap<>();
        p.getMinAvailableMap().forEach((id, n) -> min.put(ServiceId.of(id), n));
        Map<TeamId, TeamQuota> quotas = new HashMap<>();
        p.getQuotasList()
                .forEach(
                        q ->
                                quotas.put(
                                        TeamId.of(q.getTeam()),
                                        new TeamQuota(q.getQuota(), q.getVersion())));
        FleetSnapshot state =
                new FleetSnapshot(
                        p.getNextOffset(),
                        new RecordWindowContents(longs(p.getIdsList()), longs(p.getDigestsList())),
                        p.hasConfiguration()
                                ? Optional.of(configuration(p.getConfiguration()))
                                : Optional.empty(),
                        poolDefinitions,
                        min,
                        list(p.getPoolsList(), SnapshotDecoder::pool),
                        list(p.getVmsList(), d::vm),
                        list(p.getWavesList(), SnapshotDecoder::wave),
                        list(p.getJobsList(), SnapshotDecoder::job),
                        list(p.getEpochsList(), SnapshotDecoder::epoch),
                        quotas);
        return new StoredState(p.getRestorations(), p.getLogOffset(), state);
    }

    private static long[] longs(List<Long> values) {
        if (Integer.bitCount(values.size()) != 1) {
            throw new IllegalArgumentException(
                    "window size must be a power of two, found " + values.size() + " records");
        }
        return values.stream().mapToLong(Long::longValue).toArray();
    }

    private static <P, T> List<T> list(List<P> from, Function<P, T> decode) {
        List<T> result = new ArrayList<>(from.size());
        from.forEach(p -> result.add(decode.apply(p)));
        return result;
    }

    private static Configuration configuration(ConfigurationProto p) {
        return new Configuration(
                p.getVersion(),
                p.getBase(),
                ChangeDecoder.byZone(p.getOverlaysMap()),
                ChangeDecoder.author(p.getAuthor()));
    }

    private static PoolState pool(PoolProto p) {
        return new PoolState(
                PoolId.of(p.getId()),
                p.hasService() ? Optional.of(ServiceId.of(p.getService())) : Optional.empty(),
                p.getTarget(),
                p.getReserve(),
                p.getVersion());
    }

    private VmState vm(VmProto p) {
        Optional<VmAction> pending =
                p.hasPending()
                        ? Optional.of(EnumCodecs.VM_ACTION.decode(p.getPending()).orElseThrow())
                        : Optional.empty();
        return new VmState(
                VmId.of(p.getId()),
                intern(mZones, p.getZone(), ZoneId::of),
                intern(mRacks, p.getRack(), RackId::of),
                intern(mPools, p.getPool(), PoolId::of),
                p.getPoolGeneration(),
                EnumCodecs.VM_PHASE.decode(p.getPhase()).orElseThrow(),
                p.getGeneration(),
                pending,
                p.hasWave()
                        ? Optional.of(intern(mWaves, p.getWave(), WaveId::of))
                        : Optional.empty(),
                p.hasJoining()
                        ? Optional.of(intern(mPools, p.getJoining(), PoolId::of))
                        : Optional.empty(),
                p.getLastMaintained(),
                p.getVersion());
    }

    /** Returns the id at an index of the name table; repeated ids share one instance. */
    private <T> T intern(Map<Integer, T> known, int index, Function<String, T> make) {
        return known.computeIfAbsent(index, i -> make.apply(mProto.getNames(i)));
    }

    private static WaveState wave(WaveProto p) {
        return new WaveState(
                WaveId.of(p.getId()),
                zones(p.getZonesList()),
                Set.copyOf(list(p.getPoolsList(), PoolId::of)),
                zones(p.getFinishedList()),
                EnumCodecs.WAVE_PHASE.decode(p.getPhase()).orElseThrow(),
                ChangeDecoder.author(p.getLastOrder()),
                p.getStarted(),
                p.getVersion());
    }

    private static Set<ZoneId> zones(List<String> names) {
        Set<ZoneId> zones = new HashSet<>();
        names.forEach(z -> zones.add(ZoneId.of(z)));
        return Set.copyOf(zones);
    }

    private static JobState job(JobProto p) {
        Map<Integer, TaskState> tasks = new HashMap<>();
        p.getTasksMap().forEach((i, t) -> tasks.put(i, task(t)));
        return new JobState(
                JobId.of(p.getId()),
                ChangeDecoder.spec(p.getSpec()).orElseThrow(),
                p.getCancelled(),
                tasks,
                p.getVersion());
    }

    private static TaskState task(TaskProto p) {
        Optional<TaskOutcome> outcome =
                p.hasOutcome()
                        ? Optional.of(EnumCodecs.TASK_OUTCOME.decode(p.getOutcome()).orElseThrow())
                        : Optional.empty();
        return new TaskState(
                VmId.of(p.getWorker()),
                p.getAttempt(),
                EnumCodecs.TASK_ACTION.decode(p.getAction()).orElseThrow(),
                outcome);
    }

    private static EpochState epoch(EpochStateProto p) {
        return new EpochState(
                ZoneId.of(p.getShard()),
                p.getNumber(),
                p.hasHolder() ? Optional.of(NodeId.of(p.getHolder())) : Optional.empty(),
                p.getVersion());
    }
}
