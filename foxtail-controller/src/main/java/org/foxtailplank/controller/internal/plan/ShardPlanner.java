package org.foxtailplank.controller.internal.plan;

import java.util.List;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetView;

/** Plans the next changes of a shard. Called on the thread that owns the state. */
public interface ShardPlanner {
    /**
     * Returns the changes to be written now.
     *
     * @param view state of the fleet
     * @param zone zone of the shard
     * @param observation observed state of the platform
     * @param nowMs current time in milliseconds
     */
    List<PlannedChange> plan(
            FleetView view, ZoneId zone, PlatformObservation observation, long nowMs);
}
