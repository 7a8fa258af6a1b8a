package org.foxtailplank.wire;

import org.foxtailplank.state.FleetSnapshot;
import org.foxtailplank.state.StatePosition;

/**
 * A snapshot and its position in the log.
 *
 * @param restorations number of restorations of the log from a snapshot
 * @param logOffset offset in the log of the next record to read
 * @param state snapshot of the state
 */
public record StoredState(long restorations, long logOffset, FleetSnapshot state) {
    /** Returns the position of the state. */
    public StatePosition position() {
        long[] digests = state.window().digests();
        int last = (int) (state.nextOffset() & digests.length - 1);
        return new StatePosition(restorations, state.nextOffset(), digests[last]);
    }
}
