package org.foxtailplank.internal.log;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.NodeId;

/**
 * This node's share of the appends a second that all nodes may do together.
 *
 * <p>Each node has an equal part of the budget. A peer that says, in its heartbeats, that it uses
 * less than its part lends what it leaves over, in equal parts to all others, but for a margin; it
 * takes its own part back at once when it needs it. So the nodes together stay within the budget
 * whenever what they said is still true, and go above it for one heartbeat at most when a lender
 * grows busy; the platform then refuses and the writers back off. A peer that says nothing lends
 * nothing.
 */
public final class AppendShare {

    private static final double NANOS = 1e9;
    private static final double LENT_AT_MOST = 0.875;

    private final double mBudget;
    private final int mNodes;
    private final double mBurstSeconds;
    private final long mFreshNanos;
    private final Map<NodeId, Use> mPeers = new HashMap<>();
    private double mTokens;
    private long mAt;
    private double mUsed;
    private long mUsedAt;

    private record Use(double perSecond, long at) {}

    /**
     * A share with a full burst.
     *
     * @param budget appends a second for all nodes together
     * @param nodes number of nodes, this one included
     * @param burstSeconds seconds for which an unused share is kept
     * @param freshNanos time for which a peer's word on its use holds
     * @param now the time
     */
    public AppendShare(double budget, int nodes, double burstSeconds, long freshNanos, long now) {
        mBudget = budget;
        mNodes = Math.max(1, nodes);
        mBurstSeconds = burstSeconds;
        mFreshNanos = freshNanos;
        mTokens = burst();
        mAt = now;
        mUsedAt = now;
    }

    /** A peer says how many appends a second it does at the moment. */
    public void peerUses(NodeId peer, double perSecond, long now) {
        mPeers.put(peer, new Use(perSecond, now));
    }

    /** Appends a second that this node may do now. */
    public double rate(long now) {
        double own = mBudget / mNodes;
        double lent = 0;
        for (Use use : mPeers.values()) {
            if (now - use.at() <= mFreshNanos) {
                lent += Math.max(0, own * LENT_AT_MOST - use.perSecond());
            }
        }
        return mNodes == 1 ? own : own + lent / (mNodes - 1);
    }

    /** Takes one append if there is one. */
    public boolean take(long now) {
        refill(now);
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        mUsed++;
        return true;
    }

    /** The time at which there is an append to take. */
    public long nextAt(long now) {
        refill(now);
        double missing = Math.max(0, 1 - mTokens);
        return now + Math.max(1, (long) Math.ceil(missing / rate(now) * NANOS));
    }

    /** Appends a second that this node does, smoothed over about a second; for its heartbeats. */
    public double use(long now) {
        decay(now);
        return mUsed;
    }

    private void refill(long now) {
        mTokens = Math.min(burst(), mTokens + (now - mAt) * rate(now) / NANOS);
        mAt = now;
        decay(now);
    }

    private void decay(long now) {
        mUsed *= Math.exp(-(now - mUsedAt) / NANOS);
        mUsedAt = now;
    }

    private double burst() {
        return Math.max(1, mBudget / mNodes * mBurstSeconds);
    }
}
