package org.foxtailplank.internal.membership;

import java.time.Duration;

/**
 * Timeouts of the failure detector, measured from the last heartbeat of a member.
 *
 * @param suspectNanos time after which the member is suspected
 * @param awayNanos time after which the member is considered away
 * @param forgetNanos time after which the member is removed from the table
 */
public record SilenceLimits(long suspectNanos, long awayNanos, long forgetNanos) {

    private static final int FORGET_FACTOR = 10;

    /** Derives all timeouts from the time after which a member is considered away. */
    public static SilenceLimits of(Duration away) {
        long nanos = away.toNanos();
        return new SilenceLimits(nanos / 2, nanos, nanos * FORGET_FACTOR);
    }

    /** Returns timeouts that are extended by the propagation delay of gossip. */
    public SilenceLimits plusPropagationDelay(Duration propagationDelay) {
        return of(Duration.ofNanos(awayNanos).plus(propagationDelay));
    }
}
