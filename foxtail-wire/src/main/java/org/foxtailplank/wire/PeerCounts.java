package org.foxtailplank.wire;

import java.util.Map;

/**
 * What a link has counted since it started; bytes are those of TCP's payload.
 *
 * @param bytesOut bytes sent
 * @param bytesIn bytes received
 * @param messagesOut messages sent
 * @param messagesIn messages received
 * @param heartbeatsDropped heartbeats dropped because a newer one was due
 * @param notUnderstood messages of unknown kinds, ignored
 * @param connects connections tried
 * @param cuts connections cut, by reason
 */
public record PeerCounts(
        long bytesOut,
        long bytesIn,
        long messagesOut,
        long messagesIn,
        long heartbeatsDropped,
        long notUnderstood,
        long connects,
        Map<CutReason, Long> cuts) {

    public PeerCounts {
        cuts = Map.copyOf(cuts);
    }

    /** Connections cut for a reason. */
    public long cuts(CutReason reason) {
        return cuts.getOrDefault(reason, 0L);
    }
}
