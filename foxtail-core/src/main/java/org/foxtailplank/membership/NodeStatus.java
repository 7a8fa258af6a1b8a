package org.foxtailplank.membership;

import org.foxtailplank.state.StatePosition;

/**
 * What a process says of itself in each heartbeat.
 *
 * @param configurationVersion version of the configuration in force there; 0 for none
 * @param position how far it has followed the log
 * @param load its requests in flight
 */
public record NodeStatus(long configurationVersion, StatePosition position, LoadSummary load) {

    private static final NodeStatus NONE =
            new NodeStatus(0, StatePosition.NOTHING, LoadSummary.none());

    /** A process that knows nothing yet. */
    public static NodeStatus none() {
        return NONE;
    }
}
