package org.foxtailplank.fleet;

import java.time.Duration;

/**
 * Timeouts and limits of placement.
 *
 * @param lease time for which a worker may run a task without renewing the lease
 * @param answerTimeout time after which an unanswered action is repeated
 * @param checkpointTimeout time that a batch task gets to checkpoint before it is stopped for
 *     urgent work
 * @param firstQuarantine first quarantine of a failing worker; doubles with each further one
 * @param maxActions maximum number of actions in one decision
 */
public record PlacementSettings(
        Duration lease,
        Duration answerTimeout,
        Duration checkpointTimeout,
        Duration firstQuarantine,
        int maxActions) {

    /** Returns the default settings, which keep urgent starts within 4.4 s. */
    public static PlacementSettings standard() {
        return new PlacementSettings(
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                1024);
    }
}
