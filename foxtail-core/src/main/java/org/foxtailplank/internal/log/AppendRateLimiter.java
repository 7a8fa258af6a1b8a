package org.foxtailplank.internal.log;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.NodeId;

/**
 * Token bucket that limits this node to its share of the cluster-wide append rate.
 *
 * <p>Each node has an equal share of the budget. A peer whose heartbeats report a lower append rate
 * lends most of its unused share to the other nodes in equal parts, and reclaims it at once when
 * needed. The cluster exceeds the budget for at most one heartbeat interval, when lenders become
 * busy; the platform then rejects appends and the writers back off. A peer without a recent report
 * lends nothing.
 */
public final class AppendRateLimiter {

    private static final double NANOS = 1e9;
    private static final double MAX_LENT_FRACTION = 0.875;

    private final double mBudget;
    private final int mNodes;
    private final double mBurstSeconds;
    private final long mReportTtlNanos;
    private final Map<NodeId, PeerRate> mPeers = new HashMap<>();
    private double mTokens;
    private long mRefilledAt;
    private double mMeasuredRate;
    private long mMeasuredAt;

    private record PeerRate(double perSecond, long reportedAt) {}

    /**
     * Creates a limiter with a full bucket.
     *
     * @param budget appends per second of all nodes
     * @param nodes number of nodes, including this one
     * @param burstSeconds seconds for which an unused share accumulates
     * @param reportTtlNanos time for which the reported rate of a peer is valid
     * @param now current time
     */
    public AppendRateLimiter(
            double budget, int nodes, double burstSeconds, long reportTtlNanos, long now) {
        mBudget = budget;
        mNodes = Math.max(1, nodes);
        mBurstSeconds = burstSeconds;
        mReportTtlNanos = reportTtlNanos;
        mTokens = burst();
        mRefilledAt = now;
        mMeasuredAt = now;
    }

    /** Updates the append rate that a peer reports. */
    public void updatePeerRate(NodeId peer, double perSecond, long now) {
        mPeers.put(peer, new PeerRate(perSecond, now));
    }

    /** Returns the append rate currently permitted to this node, per second. */
    public double permittedRate(long now) {
        double own = mBudget / mNodes;
        double borrowed = 0;
        for (PeerRate peer : mPeers.values()) {
            if (now - peer.reportedAt() <= mReportTtlNanos) {
                borrowed += Math.max(0, own * MAX_LENT_FRACTION - peer.perSecond());
            }
        }
        return mNodes == 1 ? own : own + borrowed / (mNodes - 1);
    }

    /** Takes a token if one is available. */
    public boolean tryAcquire(long now) {
        refill(now);
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        mMeasuredRate++;
        return true;
    }

    /** Returns the time at which the next token is available. */
    public long nextPermitAt(long now) {
        refill(now);
        double missing = Math.max(0, 1 - mTokens);
        return now + Math.max(1, (long) Math.ceil(missing / permittedRate(now) * NANOS));
    }

    /** Returns this node's append rate per second, averaged over about a second. */
    public double measuredRate(long now) {
        decay(now);
        return mMeasuredRate;
    }

    private void refill(long now) {
        mTokens = Math.min(burst(), mTokens + (now - mRefilledAt) * permittedRate(now) / NANOS);
        mRefilledAt = now;
        decay(now);
    }

    private void decay(long now) {
        mMeasuredRate *= Math.exp(-(now - mMeasuredAt) / NANOS);
        mMeasuredAt = now;
    }

    private double burst() {
        return Math.max(1, mBudget / mNodes * mBurstSeconds);
    }
}
