package org.foxtailplank.schedule;

/**
 * Times that the platform promises or bounds, in milliseconds.
 *
 * @param leaseMs longest lease that a worker takes
 * @param earlyMs how much before its time a timed run may start
 */
public record ScheduleLimits(long leaseMs, long earlyMs) {
    /** A worker's clock may be this much slower than ours. */
    static final double CLOCK_DRIFT = 0.02;

    /** Slack for the age of the clock reading on which a lease was computed. */
    private static final long CLOCK_READING_MS = 200;

    /** How long after a lease was given nothing can run under it any more. */
    public long surelyLapsedMs() {
        return (long) (leaseMs * (1 + 2 * CLOCK_DRIFT)) + CLOCK_READING_MS;
    }
}
