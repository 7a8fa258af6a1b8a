package org.foxtailplank.wire;

import java.time.Duration;

/**
 * Bounds of what a link sends and takes.
 *
 * @param heartbeatBytesPerSecond bytes of heartbeats sent a second, to all peers together
 * @param maxMessageBytes largest message of a peer that has proved its identity
 * @param maxUnproved connections at once that have not proved their identity
 * @param handshake time for a connection to prove its identity
 * @param asksPerPeer asks of one peer that are answered at once
 * @param connectsPerSecond connections tried a second, to all peers together
 */
public record PeerLinkLimits(
        int heartbeatBytesPerSecond,
        int maxMessageBytes,
        int maxUnproved,
        Duration handshake,
        int asksPerPeer,
        int connectsPerSecond) {

    private static final PeerLinkLimits USUAL =
            new PeerLinkLimits(2_500, 256 * 1024, 32, Duration.ofSeconds(2), 64, 20);

    /** The limits that the measurements of docs/design/peers.md chose. */
    public static PeerLinkLimits usual() {
        return USUAL;
    }

    /** The same with messages of at least this size allowed. */
    public PeerLinkLimits withMessagesOf(int bytes) {
        return new PeerLinkLimits(
                heartbeatBytesPerSecond,
                Math.max(maxMessageBytes, bytes),
                maxUnproved,
                handshake,
                asksPerPeer,
                connectsPerSecond);
    }
}
