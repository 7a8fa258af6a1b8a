package org.foxtailplank.membership;

import org.foxtailplank.id.NodeId;

/**
 * A remote member as seen by the local node.
 *
 * @param identity authenticated identity
 * @param state liveness state
 * @param status last status that the member reported
 */
public record Member(PeerIdentity identity, MemberState state, NodeStatus status) {

    /** Returns the node id. */
    public NodeId node() {
        return identity.node();
    }

    /** Returns the incarnation. */
    public Incarnation incarnation() {
        return identity.incarnation();
    }
}
