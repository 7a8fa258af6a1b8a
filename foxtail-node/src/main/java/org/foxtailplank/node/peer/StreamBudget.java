package org.foxtailplank.node.peer;

import org.foxtailplank.node.LinkBudget;
import org.foxtailplank.node.LinkRate;

/**
 * How much of an owner's link the journal's records may take on their way to the other nodes.
 *
 * <p>Answers a queue's turn under an owner with a narrow link: what it hands on grows with jobs
 * times nodes, fills the link, and its looks and orders wait behind it until leases of workers run
 * out. Nodes that get no records for a moment read them from the store, each over its own link.
 * With 16 followers on a link of 1.4 Mbit/s the records took 1.05 Mbit/s of it (bytes written to
 * them over two seconds of a turn).
 */
final class StreamBudget {
    /**
     * Share of the link for records: orders, looks and appends need about half of it in a turn, and
     * what is left takes their peaks.
     */
    private static final double LINK_SHARE = 0.25;

    /**
     * Time whose share may be used at once, in milliseconds: a burst of jobs lasts about as long.
     */
    private static final long BURST_MS = 500;

    /**
     * How long no records are sent once the share is used up, in milliseconds. Nodes read the store
     * at each heartbeat meanwhile; without a pause each record after a gap would send them there.
     */
    private static final long PAUSE_MS = 1000;

    private final LinkBudget mBudget;
    private long mPausedUntilMs = Long.MIN_VALUE / 2;

    StreamBudget(LinkRate link, long nowMs) {
        mBudget = new LinkBudget(link, LINK_SHARE, BURST_MS, 0, nowMs);
    }

    /** Whether records of this size, to all nodes together, may be sent now. */
    boolean tryConsume(long bytes, long nowMs) {
        if (nowMs < mPausedUntilMs) {
            return false;
        }
        boolean may = mBudget.take(bytes, nowMs);
        if (!may) {
            mPausedUntilMs = nowMs + PAUSE_MS;
        }
        return may;
    }
}
