package org.foxtailplank.wire;

import java.time.Duration;

/**
 * Resource limits of a peer link.
 *
 * @param heartbeatBytesPerSecond heartbeat bytes sent per second to all peers together
 * @param maxMessageBytes maximum size of a message from an authenticated peer
 * @param maxUnauthenticated maximum number of connections that are not authenticated yet
 * @param handshakeTimeout maximum duration of the handshake
 * @param maxRequestsPerPeer maximum number of concurrent requests of one peer
 * @param connectsPerSecond connection attempts per second to all peers together
 */
public record PeerLinkLimits(
        int heartbeatBytesPerSecond,
        int maxMessageBytes,
        int maxUnauthenticated,
        Duration handshakeTimeout,
        int maxRequestsPerPeer,
        int connectsPerSecond) {

    private static final PeerLinkLimits DEFAULTS =
            new PeerLinkLimits(2_500, 256 * 1024, 32, Duration.ofSeconds(2), 64, 20);

    /** Returns the default limits. */
    public static PeerLinkLimits defaults() {
        return DEFAULTS;
    }

    /** Returns a copy that allows messages of at least this size. */
    public PeerLinkLimits withMinMessageLimit(int bytes) {
        return new PeerLinkLimits(
                heartbeatBytesPerSecond,
                Math.max(maxMessageBytes, bytes),
                maxUnauthenticated,
                handshakeTimeout,
                maxRequestsPerPeer,
                connectsPerSecond);
    }
}
