package org.foxtailplank.wire;

import org.foxtailplank.wire.internal.exchange.PeerStateExchange;

/**
 * Keeps a node's state as new as that of its peers, also while the platform is away.
 *
 * <p>A newer state is never replaced by an older one: whatever a peer hands out only adds to what
 * this node has.
 */
public interface StateExchange {

    /** Starts to tell peers how far this node is, to hand out its state and to fetch newer ones. */
    static StateExchange start(PeerLink link, SharedState state, StateExchangeLimits limits) {
        return PeerStateExchange.start(link, state, limits);
    }

    /** What was fetched and handed out since the start. */
    StateExchangeCounts counts();
}
