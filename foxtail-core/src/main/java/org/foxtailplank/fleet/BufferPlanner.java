package org.foxtailplank.fleet;

import org.foxtailplank.internal.buffer.DemandBufferPlanner;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.FleetView;

/** Decides which VMs are powered on; a pure function of what it is given. */
public interface BufferPlanner {

    /** A planner that follows demand as far as it can grow during a wake. */
    static BufferPlanner byDemand(FleetSettings settings) {
        return new DemandBufferPlanner(settings);
    }

    /** What to wake, put to sleep and move at a time. */
    BufferPlan plan(FleetView view, Observation seen, BufferHistory history, long nowMs);
}
