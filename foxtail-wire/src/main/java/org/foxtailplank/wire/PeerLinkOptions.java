package org.foxtailplank.wire;

import java.net.InetSocketAddress;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.PeerSettings;

/**
 * How a node's link to its peers is set up.
 *
 * @param node name of this node
 * @param zone availability zone it stands in
 * @param incarnation this start of it
 * @param roles what it does
 * @param bind address to take peers' connections on; port 0 lets the system choose
 * @param peers key and times
 * @param limits bounds of what it sends and takes
 */
public record PeerLinkOptions(
        NodeId node,
        ZoneId zone,
        Incarnation incarnation,
        Set<NodeRole> roles,
        InetSocketAddress bind,
        PeerSettings peers,
        PeerLinkLimits limits) {

    public PeerLinkOptions {
        roles = Set.copyOf(roles);
    }

    /** The usual options of a node that the settings name. */
    public static PeerLinkOptions of(
            NodeId node,
            NodeSettings settings,
            PeerSettings peers,
            Incarnation incarnation,
            Set<NodeRole> roles) {
        return new PeerLinkOptions(
                node,
                settings.zone(),
                incarnation,
                roles,
                settings.peers(),
                peers,
                PeerLinkLimits.usual());
    }

    /** The same for messages of at least this size. */
    public PeerLinkOptions withMessagesOf(int bytes) {
        return new PeerLinkOptions(
                node, zone, incarnation, roles, bind, peers, limits.withMessagesOf(bytes));
    }
}
