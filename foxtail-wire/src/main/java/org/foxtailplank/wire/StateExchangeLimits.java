package org.foxtailplank.wire;

import java.time.Duration;

/**
 * Limits of the state exchange between nodes.
 *
 * @param grace time to wait for the platform to deliver new records before asking a peer
 * @param timeout timeout of one request
 * @param tailBytes maximum bytes of log records in one answer; 0 to send snapshots only
 * @param chunkBytes snapshot bytes in one answer
 * @param maxStateBytes maximum size of a received snapshot
 * @param snapshotCacheTime time for which a snapshot is cached
 */
public record StateExchangeLimits(
        Duration grace,
        Duration timeout,
        int tailBytes,
        int chunkBytes,
        int maxStateBytes,
        Duration snapshotCacheTime) {

    private static final StateExchangeLimits DEFAULTS =
            new StateExchangeLimits(
                    Duration.ofMillis(250),
                    Duration.ofSeconds(1),
                    64 * 1024,
                    64 * 1024,
                    16 * 1024 * 1024,
                    Duration.ofSeconds(5));

    /** Returns the default limits. */
    public static StateExchangeLimits defaults() {
        return DEFAULTS;
    }
}
