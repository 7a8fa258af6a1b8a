package org.foxtailplank.membership;

import java.net.InetSocketAddress;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;

/**
 * Who a process is, as it proves to its peers.
 *
 * @param node its name
 * @param incarnation which start of it
 * @param zone availability zone it stands in
 * @param address where it takes peers' connections
 * @param roles what it does
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
