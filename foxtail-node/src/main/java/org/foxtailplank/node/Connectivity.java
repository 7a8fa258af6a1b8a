package org.foxtailplank.node;

import java.util.List;
import java.util.function.LongSupplier;

/**
 * Tells whether a node can serve callers at all, by when it last heard of the store and the owner.
 *
 * <p>Answers a partition that separates some nodes from the store and the owner while callers still
 * reach them. Callers are routed to other nodes only after several failed readiness checks, so that
 * each second until the node notices counts.
 */
final class Connectivity {
    /**
     * Time without any response or frame after which a node counts as cut off, in milliseconds.
     * Reads of the journal are sent at least every 400 ms once the owner is silent, and a slow
     * store answers them within half a second.
     */
    static final long MAX_SILENCE_MS = 1200;

    private final Clock mClock;
    private final List<LongSupplier> mLastHeardMs;

    /**
     * Creates the check.
     *
     * @param lastHeardMs times at which the node last heard of each of its peers
     */
    Connectivity(Clock clock, LongSupplier... lastHeardMs) {
        mClock = clock;
        mLastHeardMs = List.of(lastHeardMs);
    }

    /** Whether the node has heard of neither the store nor the owner for some time. */
    boolean isCutOff() {
        long latest = mLastHeardMs.stream().mapToLong(LongSupplier::getAsLong).max().orElseThrow();
        return mClock.nowMs() - latest > MAX_SILENCE_MS;
    }
}
