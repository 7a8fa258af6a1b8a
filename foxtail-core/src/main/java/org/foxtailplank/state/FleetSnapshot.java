package org.foxtailplank.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;

/**
 * The whole state at one offset.
 *
 * @param nextOffset offset of the next record
 * @param window ids and digests of the newest records, for the duplicate check
 * @param configuration configuration in force
 * @param poolDefinitions pools as configured
 * @param minAvailable availability budget of each service
 * @param pools pools
 * @param vms VMs
 * @param waves waves by version, so that ended ones keep their eviction order
 * @param jobs jobs by version, so that ended ones keep their eviction order
 * @param epochs epochs of the shards
 * @param quotas quotas set through the log
 */
public record FleetSnapshot(
        long nextOffset,
        RecordWindowContents window,
        Optional<Configuration> configuration,
        Map<PoolId, PoolDefinition> poolDefinitions,
        Map<ServiceId, Integer> minAvailable,
        List<PoolState> pools,
        List<VmState> vms,
        List<WaveState> waves,
        List<JobState> jobs,
        List<EpochState> epochs,
        Map<TeamId, TeamQuota> quotas) {
    public FleetSnapshot {
        poolDefinitions = Map.copyOf(poolDefinitions);
        minAvailable = Map.copyOf(minAvailable);
        pools = List.copyOf(pools);
        vms = List.copyOf(vms);
        waves = List.copyOf(waves);
        jobs = List.copyOf(jobs);
        epochs = List.copyOf(epochs);
        quotas = Map.copyOf(quotas);
    }
}
