package org.foxtailplank.membership;

/**
 * What a process says of itself in each heartbeat.
 *
 * @param configurationVersion newest version of the configuration that it knows; 0 for none
 * @param nextOffset offset of the log that it would fold next; 0 when it has folded nothing
 * @param load its requests in flight
 */
public record NodeStatus(long configurationVersion, long nextOffset, LoadSummary load) {

    private static final NodeStatus NONE = new NodeStatus(0, 0, LoadSummary.none());

    /** A process that knows nothing yet. */
    public static NodeStatus none() {
        return NONE;
    }
}
