package org.foxtailplank.internal.membership;

import java.time.Duration;

/**
 * How long a member may be silent.
 *
 * @param suspectNanos silence after which it is suspected
 * @param awayNanos silence after which it counts as away
 * @param forgetNanos silence after which it is forgotten
 */
public record SilenceLimits(long suspectNanos, long awayNanos, long forgetNanos) {

    private static final int FORGET_FACTOR = 10;

    /** Limits from the time after which a member counts as away. */
    public static SilenceLimits of(Duration away) {
        long nanos = away.toNanos();
        return new SilenceLimits(nanos / 2, nanos, nanos * FORGET_FACTOR);
    }

    /** Limits that allow for the time that news takes from node to node. */
    public SilenceLimits allowing(Duration spread) {
        return of(Duration.ofNanos(awayNanos).plus(spread));
    }
}
