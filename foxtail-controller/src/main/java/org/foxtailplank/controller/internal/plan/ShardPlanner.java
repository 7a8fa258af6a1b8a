package org.foxtailplank.controller.internal.plan;

import java.util.List;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetView;

/** Decides what a shard does next; called on the thread that owns the state. */
public interface ShardPlanner {
    /**
     * Changes to be written now; empty when there is nothing to do.
     *
     * @param view the agreed state
     * @param zone zone of the shard
     * @param sight what is seen beside the log
     * @param nowMs time, for what has to last before it counts
     */
    List<PlannedChange> plan(FleetView view, ZoneId zone, PlatformObservation sight, long nowMs);
}
