package org.foxtailplank.controller.internal;

import java.time.Duration;
import java.util.Optional;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.control.Liveness;
import org.foxtailplank.membership.NodeStatus;

/** What is heard of the other nodes. */
public interface PeerView extends Liveness {
    /** A view of a process that hears of no other node and takes all to be there. */
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

    /** What a node said of itself in its last heartbeat. */
    Optional<NodeStatus> status(NodeId node);
}
