package org.foxtailplank.lease;

import java.util.Optional;

/**
 * Lease that limits when and for how long an owner may call the VM service.
 *
 * <p>Prevents a replaced owner from calling a VM service that doesn't check fencing tokens, where a
 * late call would move or reboot a VM against the plan of the current owner. Once a successor has
 * raised the writer epoch, the shared log rejects appends of earlier owners. A successful append
 * therefore proves that the owner was current when it sent the append, and extends the lease to
 * {@link #DURATION_MS} after that time. Calls are aborted when the lease expires. A successor waits
 * for {@link #TAKEOVER_WAIT_MS} after raising the epoch, unless its predecessor stopped with no
 * pending calls. It never waits for more than one lease, since raising the epoch fences all
 * predecessors.
 *
 * <p>Only calls to the VM service are delayed. Workers compare tokens themselves.
 *
 * @param tokensChecked whether the VM service rejects lower tokens itself, so that no lease is
 *     needed
 * @param lastAppendSentAt when the latest successful append under the owner's epoch was first sent
 * @param waitUntilMs monotonic time from which calls are allowed
 */
public record CallLease(
        boolean tokensChecked, Optional<ClockReading> lastAppendSentAt, long waitUntilMs) {
    /**
     * Lease duration, in milliseconds. It exceeds the 400 ms append interval plus the latency of an
     * append to a slow store, half a second at 60 times its usual latency, so that the lease
     * doesn't lapse there. A longer lease would delay VM operations after each change of owner.
     */
    public static final long DURATION_MS = 1000;

    /** Allowance for 2% drift of either clock and for late timers, in milliseconds. */
    public static final long MARGIN_MS = 150;

    /** Time after which no call of an earlier owner can be pending, in milliseconds. */
    public static final long TAKEOVER_WAIT_MS = DURATION_MS + MARGIN_MS;

    /** Minimum remaining lease to start a call, in milliseconds; allows for a few round trips. */
    public static final long MIN_CALL_MS = 200;

    private static final long NO_EPOCH_YET = Long.MAX_VALUE;

    /** Creates the lease of an owner that hasn't raised the epoch yet. */
    public static CallLease of(boolean tokensChecked) {
        return new CallLease(tokensChecked, Optional.empty(), NO_EPOCH_YET);
    }

    /**
     * Extends the lease after a successful append under the owner's epoch.
     *
     * <p>An append to a partition that was unavailable may complete out of order; it never shortens
     * the lease.
     *
     * @param sentAt when the append was first sent
     */
    public CallLease extendedFrom(ClockReading sentAt) {
        boolean newer = lastAppendSentAt.map(p -> sentAt.steadyMs() >= p.steadyMs()).orElse(true);
        return newer ? new CallLease(tokensChecked, Optional.of(sentAt), waitUntilMs) : this;
    }

    /**
     * Starts the wait for the leases of earlier owners, whose appends are rejected from now on.
     *
     * @param predecessorStopped whether the predecessor is known to have no pending calls and to
     *     start no more
     */
    public CallLease epochRaised(long nowMs, boolean predecessorStopped) {
        long wait = predecessorStopped ? 0 : TAKEOVER_WAIT_MS;
        return new CallLease(tokensChecked, lastAppendSentAt, nowMs + wait);
    }

    /** Returns whether all calls of earlier owners have ended. */
    public boolean isWaitOver(long nowMs) {
        return tokensChecked || nowMs >= waitUntilMs;
    }

    /** Returns the time limit for a call started now, in milliseconds; 0 if none is allowed. */
    public long remainingMs(ClockReading now) {
        if (tokensChecked) {
            return Long.MAX_VALUE;
        }
        if (lastAppendSentAt.isEmpty() || !isWaitOver(now.steadyMs())) {
            return 0;
        }
        long remaining = DURATION_MS - now.elapsedSince(lastAppendSentAt.get());
        return remaining < MIN_CALL_MS ? 0 : remaining;
    }
}
