package org.foxtailplank.http;

/**
 * Limits of a server.
 *
 * @param maxBodyBytes largest body of a request, in bytes; larger ones are rejected with status 413
 * @param maxConnections most open connections; for one more, the idle connection whose last answer
 *     is the oldest is closed, or else one on which requests wait behind another
 * @param requestMs how long the connection of an unfinished request is kept, in milliseconds
 */
public record ServerLimits(int maxBodyBytes, int maxConnections, long requestMs) {
    /** Most open connections of a server by default. */
    public static final int DEFAULT_CONNECTIONS = 1024;

    /** How long the connection of an unfinished request is kept by default, in milliseconds. */
    public static final int DEFAULT_REQUEST_MS = 60_000;

    public ServerLimits {
        if (maxBodyBytes < 0) {
            throw new IllegalArgumentException("maxBodyBytes must not be negative");
        }
        if (maxConnections < 1 || requestMs < 1) {
            throw new IllegalArgumentException("maxConnections and requestMs must be positive");
        }
    }
}
