package org.foxtailplank.wire.internal.records;

import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationChange;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobChange;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskIntended;
import org.foxtailplank.state.TeamQuotaChanged;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmChange;
import org.foxtailplank.state.VmJoined;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.WaveChange;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveFinished;
import org.foxtailplank.state.WaveStarted;
import org.foxtailplank.wire.generated.records.AuthorProto;
import org.foxtailplank.wire.generated.records.ConfigurationChangedProto;
import org.foxtailplank.wire.generated.records.ConfigurationPublishedProto;
import org.foxtailplank.wire.generated.records.EpochTakenProto;
import org.foxtailplank.wire.generated.records.JobCancelledProto;
import org.foxtailplank.wire.generated.records.JobSpecProto;
import org.foxtailplank.wire.generated.records.JobSubmittedProto;
import org.foxtailplank.wire.generated.records.PoolTargetChangedProto;
import org.foxtailplank.wire.generated.records.RecordProto;
import org.foxtailplank.wire.generated.records.StateRestoredProto;
import org.foxtailplank.wire.generated.records.TaskConfirmedProto;
import org.foxtailplank.wire.generated.records.TaskIntendedProto;
import org.foxtailplank.wire.generated.records.TeamQuotaChangedProto;
import org.foxtailplank.wire.generated.records.VmActionConfirmedProto;
import org.foxtailplank.wire.generated.records.VmActionIntendedProto;
import org.foxtailplank.wire.generated.records.VmJoinedProto;
import org.foxtailplank.wire.generated.records.VmObservedProto;
import org.foxtailplank.wire.generated.records.VmReleasedProto;
import org.foxtailplank.wire.generated.records.WaveControlledProto;
import org.foxtailplank.wire.generated.records.WaveFinishedProto;
import org.foxtailplank.wire.generated.records.WaveStartedProto;

/** Encodes the change of a record as protobuf. */
public final class ChangeEncoder {
    private ChangeEncoder() {}

    /** Sets the change of a record. */
    public static void encode(Change change, RecordProto.Builder to) {
        if (change instanceof VmChange c) {
            encodeVm(c, to);
        } else if (change instanceof WaveChange c) {
            encodeWave(c, to);
        } else if (change instanceof JobChange c) {
            encodeJob(c, to);
        } else if (change instanceof ConfigurationChange c) {
            encodeConfiguration(c, to);
        } else if (change instanceof EpochTaken c) {
            to.setEpochTaken(
                    EpochTakenProto.newBuilder()
                            .setShard(c.shard().value())
                            .setReplaces(c.replaces())
                            .setHolder(c.holder().value()));
        } else if (change instanceof PoolTargetChanged c) {
            to.setPoolTargetChanged(
                    PoolTargetChangedProto.newBuilder()
                            .setPool(c.pool().value())
                            .setTarget(c.target())
                            .setReserve(c.reserve())
                            .setAuthor(author(c.author())));
        } else if (change instanceof TeamQuotaChanged c) {
            to.setTeamQuotaChanged(
                    TeamQuotaChangedProto.newBuilder()
                            .setTeam(c.team().value())
                            .setQuota(c.quota())
                            .setAuthor(author(c.author())));
        } else if (change instanceof StateRestored c) {
            to.setStateRestored(
                    StateRestoredProto.newBuilder()
                            .setReplaces(c.replaces())
                            .setNextOffset(c.nextOffset())
                            .setDigest(c.digest())
                            .setSnapshot(c.snapshot()));
        } else {
            throw new IllegalArgumentException("cannot encode a change of an unknown kind");
        }
    }

    private static void encodeConfiguration(ConfigurationChange change, RecordProto.Builder to) {
        if (change instanceof ConfigurationPublished c) {
            ConfigurationPublishedProto.Builder b =
                    ConfigurationPublishedProto.newBuilder()
                            .setBase(c.base())
                            .setShape(FleetTopologyCodec.encode(c.topology()))
                            .setAuthor(author(c.author()));
            c.overlays().forEach((z, t) -> b.putOverlays(z.value(), t));
            to.setConfigurationPublished(b);
        } else if (change instanceof ConfigurationChanged c) {
            ConfigurationChangedProto.Builder b =
                    ConfigurationChangedProto.newBuilder()
                            .setBasePatch(c.basePatch())
                            .setShapePatch(FleetTopologyCodec.encode(c.topologyPatch()))
                            .setAuthor(author(c.author()));
            c.overlayPatches().forEach((z, t) -> b.putOverlayPatches(z.value(), t));
            to.setConfigurationChanged(b);
        }
    }

    private static void encodeVm(VmChange change, RecordProto.Builder to) {
        String vm = change.vm().value();
        if (change instanceof VmActionIntended c) {
            VmActionIntendedProto.Builder b =
                    VmActionIntendedProto.newBuilder()
                            .setVm(vm)
                            .setAction(EnumCodecs.VM_ACTION.encode(c.action()))
                            .setGeneration(c.generation())
                            .setAuthor(author(c.author()));
            c.wave().ifPresent(w -> b.setWave(w.value()));
            to.setVmActionIntended(b);
        } else if (change instanceof VmActionConfirmed c) {
            to.setVmActionConfirmed(
                    VmActionConfirmedProto.newBuilder()
                            .setVm(vm)
                            .setGeneration(c.generation())
                            .setOutcome(EnumCodecs.ACTION_OUTCOME.encode(c.outcome())));
        } else if (change instanceof VmReleased c) {
            to.setVmReleased(
                    VmReleasedProto.newBuilder()
                            .setVm(vm)
                            .setFrom(c.from().value())
                            .setTo(c.to().value())
                            .setAuthor(author(c.author())));
        } else if (change instanceof VmJoined c) {
            to.setVmJoined(VmJoinedProto.newBuilder().setVm(vm).setTo(c.to().value()));
        } else if (change instanceof VmObserved c) {
            to.setVmObserved(
                    VmObservedProto.newBuilder()
                            .setVm(vm)
                            .setGeneration(c.generation())
                            .setHealth(EnumCodecs.VM_HEALTH.encode(c.health()))
                            .setAuthor(author(c.author())));
        }
    }

    private static void encodeWave(WaveChange change, RecordProto.Builder to) {
        String wave = change.wave().value();
        if (change instanceof WaveStarted c) {
            WaveStartedProto.Builder b =
                    WaveStartedProto.newBuilder().setWave(wave).setAuthor(author(c.author()));
            c.zones().stream().map(ZoneId::value).sorted().forEach(b::addZones);
            c.pools().stream().map(p -> p.value()).sorted().forEach(b::addPools);
            to.setWaveStarted(b);
        } else if (change instanceof WaveControlled c) {
            to.setWaveControlled(
                    WaveControlledProto.newBuilder()
                            .setWave(wave)
                            .setOrder(EnumCodecs.WAVE_ORDER.encode(c.order()))
                            .setAuthor(author(c.author())));
        } else if (change instanceof WaveFinished c) {
            to.setWaveFinished(
                    WaveFinishedProto.newBuilder().setWave(wave).setZone(c.zone().value()));
        }
    }

    private static void encodeJob(JobChange change, RecordProto.Builder to) {
        String job = change.job().value();
        if (change instanceof JobSubmitted c) {
            to.setJobSubmitted(
                    JobSubmittedProto.newBuilder()
                            .setJob(job)
                            .setSpec(spec(c.spec()))
                            .setAuthor(author(c.author())));
        } else if (change instanceof JobCancelled c) {
            to.setJobCancelled(
                    JobCancelledProto.newBuilder().setJob(job).setAuthor(author(c.author())));
        } else if (change instanceof TaskIntended c) {
            to.setTaskIntended(
                    TaskIntendedProto.newBuilder()
                            .setJob(job)
                            .setTask(c.task())
                            .setWorker(c.worker().value())
                            .setAction(EnumCodecs.TASK_ACTION.encode(c.action()))
                            .setAttempt(c.attempt()));
        } else if (change instanceof TaskConfirmed c) {
            to.setTaskConfirmed(
                    TaskConfirmedProto.newBuilder()
                            .setJob(job)
                            .setTask(c.task())
                            .setWorker(c.worker().value())
                            .setAttempt(c.attempt())
                            .setOutcome(EnumCodecs.TASK_OUTCOME.encode(c.outcome())));
        }
    }

    /** Encodes a job specification. */
    public static JobSpecProto spec(JobSpec s) {
        return JobSpecProto.newBuilder()
                .setTeam(s.team().value())
                .setPool(s.pool().value())
                .setUrgency(EnumCodecs.REQUEST_CLASS.encode(s.urgency()))
                .setProcessors(s.processors())
                .setMemoryBytes(s.memoryBytes())
                .setAccelerators(s.accelerators())
                .setTasks(s.tasks())
                .build();
    }

    /** Encodes the author of a change. */
    public static AuthorProto author(ChangeAuthor a) {
        return AuthorProto.newBuilder().setWho(a.who()).setWhy(a.why()).build();
    }
}
