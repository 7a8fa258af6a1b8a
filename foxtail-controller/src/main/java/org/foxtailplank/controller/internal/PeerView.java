package org.foxtailplank.controller.internal;

import java.time.Duration;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.membership.NodeStatus;

/** Liveness and status of the other nodes. */
public interface PeerView extends Liveness {
    /** Returns a view without peers that considers every node alive. */
    static PeerView none() {
        return new PeerView() {
            @Override
            public Duration silence(NodeId node) {
                return Duration.ZERO;
            }

            @Override
            public Optional<NodeStatus> status(NodeId node) {
                return Optional.empty();
            }
        };
    }

    /** Returns the status of a node from its last heartbeat. */
    Optional<NodeStatus> status(NodeId node);
}
