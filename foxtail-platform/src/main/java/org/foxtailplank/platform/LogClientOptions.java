package org.foxtailplank.platform;

import java.time.Duration;
import org.foxtailplank.settings.Settings;

/**
 * How a node writes to the log.
 *
 * @param nodes number of nodes that share the budget, this one included
 * @param appendsPerSecond appends a second for all nodes together
 * @param callTimeout time after which a call counts as unanswered
 * @param giveUp time after which a caller is told that its append was in vain
 * @param peerWord time for which a peer's word on its use holds
 * @param seed seed of the jitter between tries; different on each node
 */
public record LogClientOptions(
        int nodes,
        int appendsPerSecond,
        Duration callTimeout,
        Duration giveUp,
        Duration peerWord,
        long seed) {

    private static final int GIVE_UP_TIMEOUTS = 5;

    /** Claims of idempotency keys space their appends themselves, within the other half. */
    private static final int PARTS = 2;

    /** Options for a node of a deployment. */
    public static LogClientOptions of(Settings settings, long seed) {
        Duration timeout = settings.platform().timeout();
        return new LogClientOptions(
                settings.nodes().size(),
                Math.max(1, settings.platform().appendsPerSecond() / PARTS),
                timeout,
                timeout.multipliedBy(GIVE_UP_TIMEOUTS),
                settings.peers().silence(),
                seed);
    }
}
