package org.foxtailplank.wire.internal.records;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.FleetSnapshot;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.TaskState;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveState;
import org.foxtailplank.wire.StoredState;
import org.foxtailplank.wire.generated.snapshot.ConfigurationProto;
import org.foxtailplank.wire.generated.snapshot.EpochStateProto;
import org.foxtailplank.wire.generated.snapshot.JobProto;
import org.foxtailplank.wire.generated.snapshot.PoolProto;
import org.foxtailplank.wire.generated.snapshot.QuotaProto;
import org.foxtailplank.wire.generated.snapshot.SnapshotProto;
import org.foxtailplank.wire.generated.snapshot.TaskProto;
import org.foxtailplank.wire.generated.snapshot.VmProto;
import org.foxtailplank.wire.generated.snapshot.WaveProto;

/** Encodes a state as protobuf. */
public final class SnapshotEncoder {
    private final SnapshotProto.Builder mProto = SnapshotProto.newBuilder();
    private final Map<String, Integer> mNameIndexes = new HashMap<>();

    private SnapshotEncoder() {}

    /** Encodes a state. */
    public static SnapshotProto.Builder encode(StoredState stored) {
        SnapshotEncoder e = new SnapshotEncoder();
        FleetSnapshot s = stored.state();
        e.mProto
                .setRestorations(stored.restorations())
                .setLogOffset(stored.logOffset())
                .setNextOffset(s.nextOffset());
        for (long id : s.window().ids()) {
            e.mProto.addIds(id);
        }
        for (long digest : s.window().digests()) {
            e.mProto.addDigests(digest);
        }
        s.configuration().ifPresent(c -> e.mProto.setConfiguration(configuration(c)));
        s.poolDefinitions()
                .forEach((id, p) -> e.mProto.putShapes(id.value(), FleetTopologyCodec.encode(p)));
        s.minAvailable().forEach((id, n) -> e.mProto.putMinAvailable(id.value(), n));
        s.pools().forEach(p -> e.mProto.addPools(pool(p)));
        s.vms().forEach(v -> e.mProto.addVms(e.vm(v)));
        s.waves().forEach(w -> e.mProto.addWaves(wave(w)));
        s.jobs().forEach(j -> e.mProto.addJobs(job(j)));
        s.epochs().forEach(p -> e.mProto.addEpochs(epoch(p)));
        s.quotas()
                .forEach(
                        (t, q) ->
                                e.mProto.addQuotas(
                                        QuotaProto.newBuilder()
                                                .setTeam(t.value())
                                                .setQuota(q.quota())
                                                .setVersion(q.version())));
        return e.mProto;
    }

    private static ConfigurationProto configuration(Configuration c) {
        ConfigurationProto.Builder b =
                ConfigurationProto.newBuilder()
                        .setVersion(c.version())
                        .setBase(c.base())
                        .setAuthor(ChangeEncoder.author(c.author()));
        c.overlays().forEach((z, t) -> b.putOverlays(z.value(), t));
        return b.build();
    }

    private static PoolProto pool(PoolState p) {
        PoolProto.Builder b =
                PoolProto.newBuilder()
                        .setId(p.id().value())
                        .setTarget(p.target())
                        .setReserve(p.reserve())
                        .setVersion(p.version());
        p.service().ifPresent(s -> b.setService(s.value()));
        return b.build();
    }

    private VmProto vm(VmState v) {
        VmProto.Builder b =
                VmProto.newBuilder()
                        .setId(v.id().value())
                        .setZone(nameIndex(v.zone().value()))
                        .setRack(nameIndex(v.rack().value()))
                        .setPool(nameIndex(v.pool().value()))
                        .setPoolGeneration(v.poolGeneration())
                        .setPhase(EnumCodecs.VM_PHASE.encode(v.phase()))
                        .setGeneration(v.generation())
                        .setLastMaintained(v.lastMaintained())
                        .setVersion(v.version());
        v.pending().ifPresent(a -> b.setPending(EnumCodecs.VM_ACTION.encode(a)));
        v.wave().ifPresent(w -> b.setWave(nameIndex(w.value())));
        v.joining().ifPresent(p -> b.setJoining(nameIndex(p.value())));
        return b.build();
    }

    private int nameIndex(String value) {
        return mNameIndexes.computeIfAbsent(
                value,
                v -> {
                    mProto.addNames(v);
                    return mProto.getNamesCount() - 1;
                });
    }

    private static WaveProto wave(WaveState w) {
        WaveProto.Builder b =
                WaveProto.newBuilder()
                        .setId(w.id().value())
                        .setPhase(EnumCodecs.WAVE_PHASE.encode(w.phase()))
                        .setLastOrder(ChangeEncoder.author(w.lastOrder()))
                        .setStarted(w.started())
                        .setVersion(w.version());
        w.zones().forEach(z -> b.addZones(z.value()));
        w.pools().forEach(p -> b.addPools(p.value()));
        w.finished().forEach(z -> b.addFinished(z.value()));
        return b.build();
    }

    private static JobProto job(JobState j) {
        JobProto.Builder b =
                JobProto.newBuilder()
                        .setId(j.id().value())
                        .setSpec(ChangeEncoder.spec(j.spec()))
                        .setCancelled(j.cancelled())
                        .setVersion(j.version());
        j.tasks().forEach((i, t) -> b.putTasks(i, task(t)));
        return b.build();
    }

    private static TaskProto task(TaskState t) {
        TaskProto.Builder b =
                TaskProto.newBuilder()
                        .setWorker(t.worker().value())
                        .setAttempt(t.attempt())
                        .setAction(EnumCodecs.TASK_ACTION.encode(t.action()));
        t.outcome().ifPresent(o -> b.setOutcome(EnumCodecs.TASK_OUTCOME.encode(o)));
        return b.build();
    }

    private static EpochStateProto epoch(EpochState e) {
        EpochStateProto.Builder b =
                EpochStateProto.newBuilder()
                        .setShard(e.shard().value())
                        .setNumber(e.number())
                        .setVersion(e.version());
        e.holder().ifPresent(h -> b.setHolder(h.value()));
        return b.build();
    }
}
