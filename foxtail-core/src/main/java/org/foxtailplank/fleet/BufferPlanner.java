package org.foxtailplank.fleet;

import org.foxtailplank.internal.buffer.DemandBufferPlanner;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.FleetView;

/** Decides which VMs are powered on; a pure function of its arguments. */
public interface BufferPlanner {

    /** Returns a planner that covers demand and its growth during one wake. */
    static BufferPlanner byDemand(FleetSettings settings) {
        return new DemandBufferPlanner(settings);
    }

    /** Plans which VMs to wake, put to sleep and move. */
    BufferPlan plan(FleetView view, Observation observation, BufferHistory history, long nowMs);
}
