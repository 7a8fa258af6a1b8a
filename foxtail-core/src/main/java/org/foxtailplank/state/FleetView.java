package org.foxtailplank.state;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalDouble;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/** Reads the state that was folded from the log; the state changes only between calls. */
public interface FleetView {

    /** Offset of the next record to be applied. */
    long nextOffset();

    /** The configuration in force, if one was ever published. */
    Optional<Configuration> configuration();

    /** One VM. */
    Optional<VmState> vm(VmId id);

    /** All VMs. */
    Collection<VmState> vms();

    /** The VMs of one pool. */
    Collection<VmState> vmsOf(PoolId pool);

    /** One pool. */
    Optional<PoolState> pool(PoolId id);

    /** All pools. */
    Collection<PoolState> pools();

    /** One wave. */
    Optional<WaveState> wave(WaveId id);

    /** All waves. */
    Collection<WaveState> waves();

    /** One job. */
    Optional<JobState> job(JobId id);

    /** All jobs that are known. */
    Collection<JobState> jobs();

    /** Who may act for a shard. */
    EpochState epoch(ZoneId shard);

    /** Quota of a team, where one was set through the log. */
    default OptionalDouble teamQuota(TeamId team) {
        return OptionalDouble.empty();
    }

    /**
     * Whether a change that this program does not understand touched an object; don't act on it.
     */
    default boolean isFrozen(ObjectKey key) {
        return false;
    }

    /** Instances of a service that must be serving; 0 for an unknown service. */
    int minAvailable(ServiceId service);

    /** Offset of the last change of an object; 0 for one that does not exist. */
    long version(ObjectKey key);
}
