package org.foxtailplank.wire.internal.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.foxtailplank.wire.DisconnectReason;
import org.foxtailplank.wire.PeerCounts;

/** Counters of a link; logs closed connections at a limited rate. */
final class Counters {

    private static final Logger LOG = System.getLogger("org.foxtailplank.peer");
    private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

    final LongAdder mBytesOut = new LongAdder();
    final LongAdder mBytesIn = new LongAdder();
    final LongAdder mMessagesOut = new LongAdder();
    final LongAdder mMessagesIn = new LongAdder();
    final LongAdder mHeartbeatsDropped = new LongAdder();
    final LongAdder mNotUnderstood = new LongAdder();
    final LongAdder mConnects = new LongAdder();
    private final Map<DisconnectReason, LongAdder> mDisconnects =
            new EnumMap<>(DisconnectReason.class);
    private final Map<DisconnectReason, Long> mLoggedAt = new EnumMap<>(DisconnectReason.class);

    Counters() {
        for (DisconnectReason reason : DisconnectReason.values()) {
            mDisconnects.put(reason, new LongAdder());
        }
    }

    /**
     * Counts a closed connection and logs it, at most once per second and reason, since a failing
     * peer reconnects in a loop.
     */
    void disconnected(DisconnectReason reason, Object peer) {
        LongAdder count = mDisconnects.get(reason);
        count.increment();
        long now = System.nanoTime();
        if (isLogDue(reason, now)) {
            LOG.log(
                    Level.WARNING,
                    "peer: Cut the connection of {0}: {1} ({2} so far).",
                    peer,
                    reason.text(),
                    count.sum());
        }
    }

    PeerCounts snapshot() {
        Map<DisconnectReason, Long> disconnects = new HashMap<>();
        mDisconnects.forEach((reason, count) -> disconnects.put(reason, count.sum()));
        return new PeerCounts(
                mBytesOut.sum(),
                mBytesIn.sum(),
                mMessagesOut.sum(),
                mMessagesIn.sum(),
                mHeartbeatsDropped.sum(),
                mNotUnderstood.sum(),
                mConnects.sum(),
                disconnects);
    }

    private synchronized boolean isLogDue(DisconnectReason reason, long now) {
        Long last = mLoggedAt.get(reason);
        if (last != null && now - last < LOG_INTERVAL_NANOS) {
            return false;
        }
        mLoggedAt.put(reason, now);
        return true;
    }
}
