package org.foxtailplank.controller.internal.plan;

import java.util.Map;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.VmHealth;

/**
 * What a controller sees of the fleet beside the log.
 *
 * @param observation what plans have to allow for
 * @param discrepancies VMs that are up or down against what the log says
 */
public record PlatformObservation(Observation observation, Map<VmId, VmHealth> discrepancies) {
    public PlatformObservation {
        discrepancies = Map.copyOf(discrepancies);
    }
}
