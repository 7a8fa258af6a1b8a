package org.foxtailplank.wire.internal.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.foxtailplank.wire.CutReason;
import org.foxtailplank.wire.PeerCounts;

/** Counts what a link does, and logs why connections are cut without flooding the log. */
final class Counters {

    private static final Logger LOG = System.getLogger("org.foxtailplank.peer");
    private static final long LOG_EVERY_NANOS = 1_000_000_000L;

    final LongAdder mBytesOut = new LongAdder();
    final LongAdder mBytesIn = new LongAdder();
    final LongAdder mMessagesOut = new LongAdder();
    final LongAdder mMessagesIn = new LongAdder();
    final LongAdder mHeartbeatsDropped = new LongAdder();
    final LongAdder mNotUnderstood = new LongAdder();
    final LongAdder mConnects = new LongAdder();
    private final Map<CutReason, LongAdder> mCuts = new EnumMap<>(CutReason.class);
    private final Map<CutReason, Long> mLoggedAt = new EnumMap<>(CutReason.class);

    Counters() {
        for (CutReason reason : CutReason.values()) {
            mCuts.put(reason, new LongAdder());
        }
    }

    /**
     * Counts a cut connection; at most one line a second is logged for a reason.
     *
     * <p>Guards against a peer that connects and fails in a loop and would fill the log.
     */
    void cut(CutReason reason, Object peer) {
        LongAdder count = mCuts.get(reason);
        count.increment();
        long now = System.nanoTime();
        if (mayLog(reason, now)) {
            LOG.log(
                    Level.WARNING,
                    "peer: Cut the connection of {0}: {1} ({2} so far).",
                    peer,
                    reason.text(),
                    count.sum());
        }
    }

    PeerCounts snapshot() {
        Map<CutReason, Long> cuts = new HashMap<>();
        mCuts.forEach((reason, count) -> cuts.put(reason, count.sum()));
        return new PeerCounts(
                mBytesOut.sum(),
                mBytesIn.sum(),
                mMessagesOut.sum(),
                mMessagesIn.sum(),
                mHeartbeatsDropped.sum(),
                mNotUnderstood.sum(),
                mConnects.sum(),
                cuts);
    }

    private synchronized boolean mayLog(CutReason reason, long now) {
        Long last = mLoggedAt.get(reason);
        if (last != null && now - last < LOG_EVERY_NANOS) {
            return false;
        }
        mLoggedAt.put(reason, now);
        return true;
    }
}
