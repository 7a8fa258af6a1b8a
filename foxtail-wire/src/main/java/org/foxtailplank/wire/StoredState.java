package org.foxtailplank.wire;

import org.foxtailplank.state.FleetSnapshot;
import org.foxtailplank.state.StatePosition;

/**
 * A snapshot together with its place in the log.
 *
 * @param restorations times that a state was restored to the log
 * @param logOffset offset in the log at which reading goes on
 * @param state the state
 */
public record StoredState(long restorations, long logOffset, FleetSnapshot state) {
    /** How far the state goes. */
    public StatePosition position() {
        long[] digests = state.window().digests();
        int last = (int) (state.nextOffset() & digests.length - 1);
        return new StatePosition(restorations, state.nextOffset(), digests[last]);
    }
}
