package org.foxtailplank.fleet;

import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * What a controller sees of the fleet beside the log; it lags and may be wrong.
 *
 * @param notServing VMs that should serve and do not, as the platform or their silence says
 * @param use measured use of each pool that reports any
 */
public record Observation(Set<VmId> notServing, Map<PoolId, PoolUse> use) {

    public Observation {
        notServing = Set.copyOf(notServing);
        use = Map.copyOf(use);
    }

    /** Nothing is reported, so every VM counts as the log says. */
    public static Observation none() {
        return new Observation(Set.of(), Map.of());
    }
}
