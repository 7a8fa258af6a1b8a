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

/** Read-only view of the state folded from the log; it does not change during a call. */
public interface FleetView {

    /** Returns the offset of the next record to be folded. */
    long nextOffset();

    /** Returns the configuration in force; empty before the first publication. */
    Optional<Configuration> configuration();

    /** Returns the VM with this id; empty for an unknown one. */
    Optional<VmState> vm(VmId id);

    /** Returns all VMs. */
    Collection<VmState> vms();

    /** Returns the VMs of a pool. */
    Collection<VmState> vmsOf(PoolId pool);

    /** Returns the pool with this id; empty for an unknown one. */
    Optional<PoolState> pool(PoolId id);

    /** Returns all pools. */
    Collection<PoolState> pools();

    /** Returns the wave with this id; empty for an unknown one. */
    Optional<WaveState> wave(WaveId id);

    /** Returns all waves that are retained. */
    Collection<WaveState> waves();

    /** Returns the job with this id; empty for an unknown one. */
    Optional<JobState> job(JobId id);

    /** Returns all jobs that are retained. */
    Collection<JobState> jobs();

    /** Returns the current epoch of a shard. */
    EpochState epoch(ZoneId shard);

    /** Returns the quota of a team; empty if none was set through the log. */
    default OptionalDouble teamQuota(TeamId team) {
        return OptionalDouble.empty();
    }

    /**
     * Returns whether a change of an unknown kind touched an object. Callers must not act on a
     * frozen object.
     */
    default boolean isFrozen(ObjectKey key) {
        return false;
    }

    /** Returns the instances of a service that must be serving; 0 for an unknown service. */
    int minAvailable(ServiceId service);

    /** Returns the offset of the last change of an object; 0 for one that does not exist. */
    long version(ObjectKey key);
}
