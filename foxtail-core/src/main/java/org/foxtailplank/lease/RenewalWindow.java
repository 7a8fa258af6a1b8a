package org.foxtailplank.lease;

import java.util.Optional;

/**
 * Limits for how long an owner may renew worker leases.
 *
 * <p>Prevents a task from running on two workers when an owner is partitioned from the shared log
 * together with some workers. Such an owner keeps renewing their leases, while its successor can't
 * reach these workers, assumes that their leases have expired and starts the tasks elsewhere.
 * Workers can only compare the tokens of owners that reach them.
 *
 * <p>A successful append under an owner's epoch proves that the owner was current when it sent the
 * append. The leases that it grants end at most {@link #DURATION_MS} plus one lease duration after
 * that time. A successor raises the epoch first, and adds {@link #TAKEOVER_WAIT_MS} to the lease of
 * each worker that it hasn't reached.
 *
 * @param lastAppendSentAt when the latest successful append under the owner's epoch was first sent
 */
public record RenewalWindow(Optional<ClockReading> lastAppendSentAt) {
    /**
     * Time for which full leases are granted after an append was sent, in milliseconds. A longer
     * window lets tasks survive longer outages of the store, but delays a successor by the same
     * time for workers that it can't reach.
     */
    public static final long DURATION_MS = 3000;

    /** Time that a successor adds, with an allowance for 2% drift of either clock. */
    public static final long TAKEOVER_WAIT_MS = DURATION_MS + 150;

    /** Returns the window of an owner without a successful append. */
    public static RenewalWindow closed() {
        return new RenewalWindow(Optional.empty());
    }

    /**
     * Extends the window after a successful append under the owner's epoch.
     *
     * <p>An append to a partition that was unavailable may complete out of order; it never shortens
     * the window.
     *
     * @param sentAt when the append was first sent
     */
    public RenewalWindow extendedFrom(ClockReading sentAt) {
        boolean newer = lastAppendSentAt.map(p -> sentAt.steadyMs() >= p.steadyMs()).orElse(true);
        return newer ? new RenewalWindow(Optional.of(sentAt)) : this;
    }

    /**
     * Returns the duration of a lease granted now, in milliseconds; 0 if none may be granted.
     *
     * @param maxMs duration of a full lease
     */
    public long leaseMs(ClockReading now, long maxMs) {
        if (lastAppendSentAt.isEmpty()) {
            return 0;
        }
        long overdue = Math.max(0, now.elapsedSince(lastAppendSentAt.get()) - DURATION_MS);
        return Math.max(0, maxMs - overdue);
    }
}
