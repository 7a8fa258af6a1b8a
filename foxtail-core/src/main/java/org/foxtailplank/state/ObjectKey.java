package org.foxtailplank.state;

import java.util.Comparator;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * Key of a versioned object.
 *
 * @param kind kind of the object
 * @param name name within the kind
 */
public record ObjectKey(ObjectKind kind, String name) {
    /** Orders keys by kind, then by name. */
    public static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    /** Returns the key of the configuration. */
    public static ObjectKey configuration() {
        return new ObjectKey(ObjectKind.CONFIGURATION, "configuration");
    }

    /** Returns the key of a shard's epoch. */
    public static ObjectKey of(ZoneId shard) {
        return new ObjectKey(ObjectKind.SHARD, shard.value());
    }

    /** Returns the key of a VM. */
    public static ObjectKey of(VmId vm) {
        return new ObjectKey(ObjectKind.VM, vm.value());
    }

    /** Returns the key of a pool. */
    public static ObjectKey of(PoolId pool) {
        return new ObjectKey(ObjectKind.POOL, pool.value());
    }

    /** Returns the key of a team. */
    public static ObjectKey of(TeamId team) {
        return new ObjectKey(ObjectKind.TEAM, team.value());
    }

    /** Returns the key of a maintenance wave. */
    public static ObjectKey of(WaveId wave) {
        return new ObjectKey(ObjectKind.WAVE, wave.value());
    }

    /** Returns the key of a job. */
    public static ObjectKey of(JobId job) {
        return new ObjectKey(ObjectKind.JOB, job.value());
    }
}
