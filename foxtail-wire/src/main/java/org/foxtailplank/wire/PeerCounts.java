package org.foxtailplank.wire;

import java.util.Map;

/**
 * Counters of a link since its start; bytes are TCP payload.
 *
 * @param bytesOut bytes sent
 * @param bytesIn bytes received
 * @param messagesOut messages sent
 * @param messagesIn messages received
 * @param heartbeatsDropped heartbeats skipped because the send buffer was full
 * @param notUnderstood messages of unknown kinds
 * @param connects connection attempts
 * @param disconnects connections closed by this node, by reason
 */
public record PeerCounts(
        long bytesOut,
        long bytesIn,
        long messagesOut,
        long messagesIn,
        long heartbeatsDropped,
        long notUnderstood,
        long connects,
        Map<DisconnectReason, Long> disconnects) {

    public PeerCounts {
        disconnects = Map.copyOf(disconnects);
    }

    /** Returns the number of connections closed for a reason. */
    public long disconnects(DisconnectReason reason) {
        return disconnects.getOrDefault(reason, 0L);
    }
}
