package org.foxtailplank.node.caller;

import java.util.Comparator;
import java.util.Optional;
import org.foxtailplank.lease.ClockReading;

/**
 * Keeps a request from being decided by a newer configuration than one that arrived later.
 *
 * <p>Requests are usually decided as they arrive, and versions only rise. A request that waits is
 * decided by the version that is in force then; for callers that version is in force since the
 * request was sent. A request that arrived meanwhile and was decided by an older version would show
 * them a configuration that goes back.
 */
final class DecisionOrder {
    /**
     * How much earlier a request that is decided by a newer version may have arrived, in
     * milliseconds. Callers allow 250 ms between the sending of two requests, of which 100 ms are
     * left for the transport of the first one.
     */
    private static final long TOLERANCE_MS = 150;

    /** The monotonic clock stands still while the VM is suspended. */
    private static final Comparator<ClockReading> BY_TIME =
            Comparator.comparingLong(ClockReading::steadyMs)
                    .thenComparingLong(ClockReading::wallMs);

    private long mVersion = -1;
    private Optional<ClockReading> mLastArrival = Optional.empty();
    private Optional<ClockReading> mLastArrivalOfOlderVersions = Optional.empty();

    /** Records that a request was decided by a version. */
    void recordDecision(ClockReading arrivedAt, long version) {
        advanceTo(version);
        boolean later = mLastArrival.map(l -> BY_TIME.compare(arrivedAt, l) > 0).orElse(true);
        if (later) {
            mLastArrival = Optional.of(arrivedAt);
        }
    }

    /** Returns whether a request may be decided by a version, which isn't older than any before. */
    boolean permits(ClockReading arrivedAt, long version) {
        advanceTo(version);
        return mLastArrivalOfOlderVersions
                .map(l -> l.elapsedSince(arrivedAt) <= TOLERANCE_MS)
                .orElse(true);
    }

    private void advanceTo(long version) {
        if (version > mVersion) {
            mVersion = version;
            mLastArrivalOfOlderVersions = mLastArrival;
        }
    }
}
