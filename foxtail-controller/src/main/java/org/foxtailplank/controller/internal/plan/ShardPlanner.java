package org.foxtailplank.controller.internal.plan;

import java.util.List;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetView;

/** Decides what a shard does next; called on the thread that owns the state. */
@FunctionalInterface
public interface ShardPlanner {
    /** Changes to be written now; empty when there is nothing to do. */
    List<PlannedChange> plan(FleetView view, ZoneId zone);
}
