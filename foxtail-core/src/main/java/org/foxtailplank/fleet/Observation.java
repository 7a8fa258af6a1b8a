package org.foxtailplank.fleet;

import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;

/**
 * A controller's view of the fleet from outside the log; it lags and may be wrong.
 *
 * @param notServing VMs that should serve but do not, according to the platform or missing reports
 * @param use measured use of each pool that reports it
 */
public record Observation(Set<VmId> notServing, Map<PoolId, PoolUse> use) {

    public Observation {
        notServing = Set.copyOf(notServing);
        use = Map.copyOf(use);
    }

    /** Returns an observation without reports: every VM counts as in the log. */
    public static Observation none() {
        return new Observation(Set.of(), Map.of());
    }
}
