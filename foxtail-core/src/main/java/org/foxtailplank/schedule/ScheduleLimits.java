package org.foxtailplank.schedule;

import org.foxtailplank.lease.RenewalWindow;

/**
 * Times bounded by the platform, in milliseconds.
 *
 * @param leaseMs longest lease of a worker
 * @param earlyMs how long before its due time a run may start
 * @param stopMs longest time that a worker takes to stop a run
 */
public record ScheduleLimits(long leaseMs, long earlyMs, long stopMs) {
    /** Maximum relative drift of a worker's clock against ours. */
    static final double CLOCK_DRIFT = 0.02;

    /** Allowance for the age of the clock reading from which a lease was computed. */
    private static final long CLOCK_READING_MS = 200;

    /** Time after which a lease has certainly expired, counted from when it was granted. */
    public long leaseExpiryMs() {
        return (long) (leaseMs * (1 + 2 * CLOCK_DRIFT)) + CLOCK_READING_MS;
    }

    /**
     * How long after its job's end a run may go on that nobody stops, in milliseconds: an owner
     * that doesn't know of the end, nor of its successor, renews the worker's lease for a while.
     */
    long endedRunMs() {
        return RenewalWindow.TAKEOVER_WAIT_MS + leaseExpiryMs() + stopMs;
    }
}
