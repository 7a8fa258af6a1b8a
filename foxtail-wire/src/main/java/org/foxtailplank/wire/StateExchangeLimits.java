package org.foxtailplank.wire;

import java.time.Duration;

/**
 * Bounds of what nodes hand each other of the state.
 *
 * @param grace time that the platform has to bring news itself before a peer is asked
 * @param timeout time for one answer
 * @param tailBytes bytes of the log's tail in one answer; 0 to hand out the rolled-up state alone
 * @param chunkBytes bytes of the rolled-up state in one answer
 * @param maxStateBytes largest rolled-up state that is taken
 * @param keepRollUp time for which a rolled-up state is handed out before it is made anew
 */
public record StateExchangeLimits(
        Duration grace,
        Duration timeout,
        int tailBytes,
        int chunkBytes,
        int maxStateBytes,
        Duration keepRollUp) {

    private static final StateExchangeLimits USUAL =
            new StateExchangeLimits(
                    Duration.ofMillis(250),
                    Duration.ofSeconds(1),
                    64 * 1024,
                    64 * 1024,
                    16 * 1024 * 1024,
                    Duration.ofSeconds(5));

    /** The limits that the measurements of docs/design/configuration-propagation.md chose. */
    public static StateExchangeLimits usual() {
        return USUAL;
    }
}
