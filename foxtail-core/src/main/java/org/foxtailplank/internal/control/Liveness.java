package org.foxtailplank.internal.control;

import java.time.Duration;
import org.foxtailplank.id.NodeId;

/**
 * Reports how long other nodes have been silent; silence does not prove that a node has stopped.
 */
@FunctionalInterface
public interface Liveness {
    /**
     * Returns the time since the last message from a node; zero for a node with a live connection.
     */
    Duration silence(NodeId node);
}
