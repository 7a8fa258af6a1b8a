package org.foxtailplank.controller.internal.plan;

import java.util.Map;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.VmHealth;

/**
 * The fleet according to the platform's VM list.
 *
 * @param observation observation for the planners
 * @param discrepancies VMs whose observed health contradicts the log
 */
public record PlatformObservation(Observation observation, Map<VmId, VmHealth> discrepancies) {
    public PlatformObservation {
        discrepancies = Map.copyOf(discrepancies);
    }
}
