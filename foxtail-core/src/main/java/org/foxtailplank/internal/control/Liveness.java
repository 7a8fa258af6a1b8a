package org.foxtailplank.internal.control;

import java.time.Duration;
import org.foxtailplank.id.NodeId;

/** How long nodes have been silent, as seen from this one; never a proof that they are gone. */
@FunctionalInterface
public interface Liveness {
    /** Time since a node was last heard; zero for a node that is heard now. */
    Duration silence(NodeId node);
}
