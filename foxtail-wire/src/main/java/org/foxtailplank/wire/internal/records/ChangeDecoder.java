package org.foxtailplank.wire.internal.records;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationChanged;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.JobCancelled;
import org.foxtailplank.state.JobSpec;
import org.foxtailplank.state.JobSubmitted;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.StateRestored;
import org.foxtailplank.state.TaskConfirmed;
import org.foxtailplank.state.TaskIntended;
import org.foxtailplank.state.TeamQuotaChanged;
import org.foxtailplank.state.VmActionConfirmed;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmJoined;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmReleased;
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

/** Decodes the change of a record from protobuf. */
public final class ChangeDecoder {
    private ChangeDecoder() {}

    /** Decodes a change; empty if its kind or a constant is unknown to this version. */
    public static Optional<? extends Change> decode(RecordProto p) {
        return switch (p.getChangeCase()) {
            case CONFIGURATION_PUBLISHED -> Optional.of(decode(p.getConfigurationPublished()));
            case CONFIGURATION_CHANGED -> Optional.of(decode(p.getConfigurationChanged()));
            case EPOCH_TAKEN -> Optional.of(decode(p.getEpochTaken()));
            case VM_RELEASED -> Optional.of(decode(p.getVmReleased()));
            case VM_JOINED -> Optional.of(decode(p.getVmJoined()));
            case VM_ACTION_INTENDED -> decode(p.getVmActionIntended());
            case VM_ACTION_CONFIRMED -> decode(p.getVmActionConfirmed());
            case VM_OBSERVED -> decode(p.getVmObserved());
            case POOL_TARGET_CHANGED -> Optional.of(decode(p.getPoolTargetChanged()));
            case TEAM_QUOTA_CHANGED -> Optional.of(decode(p.getTeamQuotaChanged()));
            case WAVE_STARTED -> Optional.of(decode(p.getWaveStarted()));
            case WAVE_CONTROLLED -> decode(p.getWaveControlled());
            case WAVE_FINISHED -> Optional.of(decode(p.getWaveFinished()));
            case JOB_SUBMITTED -> decode(p.getJobSubmitted());
            case JOB_CANCELLED -> Optional.of(decode(p.getJobCancelled()));
            case TASK_INTENDED -> decode(p.getTaskIntended());
            case TASK_CONFIRMED -> decode(p.getTaskConfirmed());
            case STATE_RESTORED -> Optional.of(decode(p.getStateRestored()));
            case CHANGE_NOT_SET -> Optional.empty();
        };
    }

    private static ConfigurationPublished decode(ConfigurationPublishedProto p) {
        return new ConfigurationPublished(
                p.getBase(),
                byZone(p.getOverlaysMap()),
                FleetTopologyCodec.decode(p.getShape()),
                author(p.getAuthor()));
    }

    private static ConfigurationChanged decode(ConfigurationChangedProto p) {
        return new ConfigurationChanged(
                p.getBasePatch(),
                byZone(p.getOverlayPatchesMap()),
                FleetTopologyCodec.decode(p.getShapePatch()),
                author(p.getAuthor()));
    }

    private static EpochTaken decode(EpochTakenProto p) {
        return new EpochTaken(ZoneId.of(p.getShard()), p.getReplaces(), NodeId.of(p.getHolder()));
    }

    private static VmReleased decode(VmReleasedProto p) {
        return new VmReleased(
                VmId.of(p.getVm()),
                PoolId.of(p.getFrom()),
                PoolId.of(p.getTo()),
                author(p.getAuthor()));
    }

    private static VmJoined decode(VmJoinedProto p) {
        return new VmJoined(VmId.of(p.getVm()), PoolId.of(p.getTo()));
    }

    private static Optional<VmActionIntended> decode(VmActionIntendedProto p) {
        Optional<WaveId> wave =
                p.hasWave() ? Optional.of(WaveId.of(p.getWave())) : Optional.empty();
        return EnumCodecs.VM_ACTION
                .decode(p.getAction())
                .map(
                        a ->
                                new VmActionIntended(
                                        VmId.of(p.getVm()),
                                        a,
                                        p.getGeneration(),
                                        wave,
                                        author(p.getAuthor())));
    }

    private static Optional<VmActionConfirmed> decode(VmActionConfirmedProto p) {
        return EnumCodecs.ACTION_OUTCOME
                .decode(p.getOutcome())
                .map(o -> new VmActionConfirmed(VmId.of(p.getVm()), p.getGeneration(), o));
    }

    private static Optional<VmObserved> decode(VmObservedProto p) {
        return EnumCodecs.VM_HEALTH
                .decode(p.getHealth())
                .map(
                        h ->
                                new VmObserved(
                                        VmId.of(p.getVm()),
                                        p.getGeneration(),
                                        h,
                                        author(p.getAuthor())));
    }

    private static PoolTargetChanged decode(PoolTargetChangedProto p) {
        return new PoolTargetChanged(
                PoolId.of(p.getPool()), p.getTarget(), p.getReserve(), author(p.getAuthor()));
    }

    private static TeamQuotaChanged decode(TeamQuotaChangedProto p) {
        return new TeamQuotaChanged(TeamId.of(p.getTeam()), p.getQuota(), author(p.getAuthor()));
    }

    private static WaveStarted decode(WaveStartedProto p) {
        Set<ZoneId> zones = new HashSet<>();
        p.getZonesList().forEach(z -> zones.add(ZoneId.of(z)));
        Set<PoolId> pools = new HashSet<>();
        p.getPoolsList().forEach(id -> pools.add(PoolId.of(id)));
        return new WaveStarted(WaveId.of(p.getWave()), zones, pools, author(p.getAuthor()));
    }

    private static Optional<WaveControlled> decode(WaveControlledProto p) {
        return EnumCodecs.WAVE_ORDER
                .decode(p.getOrder())
                .map(o -> new WaveControlled(WaveId.of(p.getWave()), o, author(p.getAuthor())));
    }

    private static WaveFinished decode(WaveFinishedProto p) {
        return new WaveFinished(WaveId.of(p.getWave()), ZoneId.of(p.getZone()));
    }

    private static Optional<JobSubmitted> decode(JobSubmittedProto p) {
        return spec(p.getSpec())
                .map(s -> new JobSubmitted(JobId.of(p.getJob()), s, author(p.getAuthor())));
    }

    private static JobCancelled decode(JobCancelledProto p) {
        return new JobCancelled(JobId.of(p.getJob()), author(p.getAuthor()));
    }

    private static Optional<TaskIntended> decode(TaskIntendedProto p) {
        return EnumCodecs.TASK_ACTION
                .decode(p.getAction())
                .map(
                        a ->
                                new TaskIntended(
                                        JobId.of(p.getJob()),
                                        p.getTask(),
                                        VmId.of(p.getWorker()),
                                        a,
                                        p.getAttempt()));
    }

    private static Optional<TaskConfirmed> decode(TaskConfirmedProto p) {
        return EnumCodecs.TASK_OUTCOME
                .decode(p.getOutcome())
                .map(
                        o ->
                                new TaskConfirmed(
                                        JobId.of(p.getJob()),
                                        p.getTask(),
                                        VmId.of(p.getWorker()),
                                        p.getAttempt(),
                                        o));
    }

    private static StateRestored decode(StateRestoredProto p) {
        return new StateRestored(
                p.getReplaces(), p.getNextOffset(), p.getDigest(), p.getSnapshot());
    }

    /** Decodes a job specification; empty if its request class is unknown to this version. */
    public static Optional<JobSpec> spec(JobSpecProto p) {
        return EnumCodecs.REQUEST_CLASS
                .decode(p.getUrgency())
                .map(
                        u ->
                                new JobSpec(
                                        TeamId.of(p.getTeam()),
                                        PoolId.of(p.getPool()),
                                        u,
                                        p.getProcessors(),
                                        p.getMemoryBytes(),
                                        p.getAccelerators(),
                                        p.getTasks()));
    }

    /** Decodes the author of a change. */
    public static ChangeAuthor author(AuthorProto p) {
        return new ChangeAuthor(p.getWho(), p.getWhy());
    }

    /** Decodes a map from zones to texts. */
    public static Map<ZoneId, String> byZone(Map<String, String> texts) {
        Map<ZoneId, String> result = new HashMap<>();
        texts.forEach((z, t) -> result.put(ZoneId.of(z), t));
        return result;
    }
}
