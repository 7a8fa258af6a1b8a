package org.foxtailplank.membership;

import org.foxtailplank.id.NodeId;

/**
 * Another process of the system, as this one sees it.
 *
 * @param identity who it is
 * @param state whether it is there
 * @param status what it last said of itself
 */
public record Member(PeerIdentity identity, MemberState state, NodeStatus status) {

    /** Its name. */
    public NodeId node() {
        return identity.node();
    }

    /** Which start of it. */
    public Incarnation incarnation() {
        return identity.incarnation();
    }
}
