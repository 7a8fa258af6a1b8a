package org.foxtailplank.state;

import java.util.Comparator;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;

/**
 * Names an object that has a version.
 *
 * @param kind kind of the object
 * @param name name within the kind
 */
public record ObjectKey(ObjectKind kind, String name) {
    /** By kind, then by name. */
    public static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    /** The one configuration. */
    public static ObjectKey configuration() {
        return new ObjectKey(ObjectKind.CONFIGURATION, "configuration");
    }

    /** The right to act in an availability zone. */
    public static ObjectKey of(ZoneId shard) {
        return new ObjectKey(ObjectKind.SHARD, shard.value());
    }

    /** A VM. */
    public static ObjectKey of(VmId vm) {
        return new ObjectKey(ObjectKind.VM, vm.value());
    }

    /** A pool. */
    public static ObjectKey of(PoolId pool) {
        return new ObjectKey(ObjectKind.POOL, pool.value());
    }

    /** A team. */
    public static ObjectKey of(TeamId team) {
        return new ObjectKey(ObjectKind.TEAM, team.value());
    }

    /** A maintenance wave. */
    public static ObjectKey of(WaveId wave) {
        return new ObjectKey(ObjectKind.WAVE, wave.value());
    }

    /** A job. */
    public static ObjectKey of(JobId job) {
        return new ObjectKey(ObjectKind.JOB, job.value());
    }
}
