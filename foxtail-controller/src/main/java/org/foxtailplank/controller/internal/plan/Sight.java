package org.foxtailplank.controller.internal.plan;

import java.util.Map;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.VmHealth;

/**
 * What a controller sees of the fleet beside the log.
 *
 * @param seen what plans have to allow for
 * @param surprises VMs that are up or down against what the log says
 */
public record Sight(Observation seen, Map<VmId, VmHealth> surprises) {
    public Sight {
        surprises = Map.copyOf(surprises);
    }
}
