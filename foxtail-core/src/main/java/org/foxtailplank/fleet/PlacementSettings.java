package org.foxtailplank.fleet;

import java.time.Duration;

/**
 * Times and bounds of placement.
 *
 * @param lease time for which a worker may run a task without being heard
 * @param answerPatience time after which an unanswered action is asked for again
 * @param checkpointPatience time that batch work gets to checkpoint before urgent work stops it
 * @param firstQuarantine time that a failing worker is left out at first; doubles each time
 * @param mostActions actions of one decision
 */
public record PlacementSettings(
        Duration lease,
        Duration answerPatience,
        Duration checkpointPatience,
        Duration firstQuarantine,
        int mostActions) {

    /** Bounds that keep urgent starts within 4.4 s. */
    public static PlacementSettings standard() {
        return new PlacementSettings(
                Duration.ofSeconds(30),
                Duration.ofSeconds(2),
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                1024);
    }
}
