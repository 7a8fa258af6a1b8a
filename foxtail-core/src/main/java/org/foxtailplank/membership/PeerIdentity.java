package org.foxtailplank.membership;

import java.net.InetSocketAddress;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;

/**
 * Identity by which a node authenticates to its peers.
 *
 * @param node node id
 * @param incarnation identifies the current run of the process
 * @param zone availability zone of the node
 * @param address listen address for peer connections
 * @param roles roles of the node
 */
public record PeerIdentity(
        NodeId node,
        Incarnation incarnation,
        ZoneId zone,
        InetSocketAddress address,
        Set<NodeRole> roles) {

    public PeerIdentity {
        roles = Set.copyOf(roles);
    }
}
