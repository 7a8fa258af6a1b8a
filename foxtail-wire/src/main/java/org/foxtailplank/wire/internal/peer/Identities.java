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

/** Identities as protobuf. */
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

    /** The identity, or empty where a peer states none that makes sense. */
    static Optional<PeerIdentity> decode(IdentityProto proto) {
        boolean port = proto.getPort() > 0 && proto.getPort() <= MAX_PORT;
        if (!port || proto.getIncarnation() == 0 || !isIpNumber(proto.getHost())) {
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

    /** Guards against a peer that makes this node wait for a name server. */
    private static boolean isIpNumber(String host) {
        return NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    }

    private static Set<NodeRole> roles(IdentityProto proto) {
        Set<NodeRole> roles = EnumSet.noneOf(NodeRole.class);
        for (RoleProto role : proto.getRolesList()) {
            switch (role) {
                case ROLE_ENTRY -> roles.add(NodeRole.ENTRY);
                case ROLE_CONTROL -> roles.add(NodeRole.CONTROL);
                default -> {
                    // A newer peer may have roles that this one has no use for.
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
