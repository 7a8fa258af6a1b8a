package org.foxtailplank.membership;

import org.foxtailplank.state.StatePosition;

/**
 * Status that a node reports in each heartbeat.
 *
 * @param configurationVersion version of the active configuration; 0 if there is none
 * @param position log position up to which the node has applied records
 * @param load requests in flight
 */
public record NodeStatus(long configurationVersion, StatePosition position, LoadSummary load) {

    private static final NodeStatus NONE =
            new NodeStatus(0, StatePosition.NOTHING, LoadSummary.none());

    /** Returns the initial status, before any configuration or record is known. */
    public static NodeStatus none() {
        return NONE;
    }
}
