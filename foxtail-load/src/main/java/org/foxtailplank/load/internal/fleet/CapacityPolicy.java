package org.foxtailplank.load.internal.fleet;

import java.util.List;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.FleetView;

/** Decides waves, buffer and moves at one moment. */
interface CapacityPolicy {

    /** Its name in results. */
    String name();

    /** Changes to the waves: steps, pauses, ends. */
    List<Change> waves(FleetView view, Observation seen, long nowMs);

    /** Changes to the buffer: wakes, sleeps, moves. */
    List<Change> buffer(FleetView view, Observation seen, long nowMs);
}
