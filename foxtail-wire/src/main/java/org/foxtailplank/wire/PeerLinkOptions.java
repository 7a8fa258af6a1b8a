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
 * Options of a peer link.
 *
 * @param node name of this node
 * @param zone availability zone of this node
 * @param incarnation incarnation of this process
 * @param roles roles of this node
 * @param bind address to accept connections on; port 0 selects a free port
 * @param peers shared key and timing
 * @param limits resource limits
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

    /** Returns the options of a node with default limits. */
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
                PeerLinkLimits.defaults());
    }

    /** Returns a copy that allows messages of at least this size. */
    public PeerLinkOptions withMinMessageLimit(int bytes) {
        return new PeerLinkOptions(
                node, zone, incarnation, roles, bind, peers, limits.withMinMessageLimit(bytes));
    }
}
