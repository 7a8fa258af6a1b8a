package org.foxtailplank.wire;

import org.foxtailplank.wire.internal.exchange.PeerStateExchange;

/**
 * Keeps a node's state up to date with its peers, even if the platform is unreachable.
 *
 * <p>A state is never replaced by an older one.
 */
public interface StateExchange {

    /** Starts to publish the position of this node, serve its state and fetch newer states. */
    static StateExchange start(PeerLink link, SharedState state, StateExchangeLimits limits) {
        return PeerStateExchange.start(link, state, limits);
    }

    /** Returns the counters since the start. */
    StateExchangeCounts counts();
}
