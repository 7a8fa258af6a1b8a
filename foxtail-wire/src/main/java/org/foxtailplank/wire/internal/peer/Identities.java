package org.foxtailplank.wire.internal.peer;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.wire.generated.peer.IdentityProto;
import org.foxtailplank.wire.generated.peer.RoleProto;

/** Protobuf codec of peer identities. */
final class Identities {

    private static final int MAX_PORT = 65_535;

    private Identities() {}

    static IdentityProto encode(PeerIdentity identity) {
        IdentityProto.Builder proto =
                IdentityProto.newBuilder()
                        .setNode(identity.node().value())
                        .setIncarnation(identity.incarnation().value())
                        .setZone(identity.zone().value())
                        .setHost(identity.address().getAddress().getHostAddress())
                        .setPort(identity.address().getPort());
        identity.roles().forEach(role -> proto.addRoles(encode(role)));
        return proto.build();
    }

    /** Decodes an identity; empty if it is invalid. */
    static Optional<PeerIdentity> decode(IdentityProto proto) {
        boolean validPort = proto.getPort() > 0 && proto.getPort() <= MAX_PORT;
        if (!validPort || proto.getIncarnation() == 0 || !isIpLiteral(proto.getHost())) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new PeerIdentity(
                            NodeId.of(proto.getNode()),
                            new Incarnation(proto.getIncarnation()),
                            ZoneId.of(proto.getZone()),
                            new InetSocketAddress(proto.getHost(), proto.getPort()),
                            roles(proto)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Host names are rejected, since resolving them would block the event loop. */
    private static boolean isIpLiteral(String host) {
        return NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    }

    private static Set<NodeRole> roles(IdentityProto proto) {
        Set<NodeRole> roles = EnumSet.noneOf(NodeRole.class);
        for (RoleProto role : proto.getRolesList()) {
            switch (role) {
                case ROLE_ENTRY -> roles.add(NodeRole.ENTRY);
                case ROLE_CONTROL -> roles.add(NodeRole.CONTROL);
                default -> {
                    // Roles of newer versions are ignored.
                }
            }
        }
        return roles;
    }

    private static RoleProto encode(NodeRole role) {
        return switch (role) {
            case ENTRY -> RoleProto.ROLE_ENTRY;
            case CONTROL -> RoleProto.ROLE_CONTROL;
        };
    }
}
