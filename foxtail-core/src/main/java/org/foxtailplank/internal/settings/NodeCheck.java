package org.foxtailplank.internal.settings;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.TeamSettings;

/** Checks that no two nodes share an address and no two teams a token. */
final class NodeCheck {
    private NodeCheck() {}

    static void check(
            Map<NodeId, NodeSettings> nodes,
            Map<String, Section> nodeSections,
            Map<TeamId, TeamSettings> teams,
            Map<String, Section> teamSections,
            Problems problems) {
        Map<InetSocketAddress, String> holders = new HashMap<>();
        nodes.forEach(
                (id, node) -> {
                    Section section = nodeSections.get(id.value());
                    address(holders, section, "callers", node.callers(), problems);
                    address(holders, section, "peers", node.peers(), problems);
                    address(holders, section, "admin", node.admin(), problems);
                });
        Map<String, TeamId> owners = new HashMap<>();
        teams.forEach(
                (id, team) -> {
                    Section section = teamSections.get(id.value());
                    TeamId other = owners.putIfAbsent(team.token(), id);
                    if (other != null && section.has("token")) {
                        problems.sameToken(
                                section.place("token"), section.path("token"), other.value());
                    }
                });
    }

    private static void address(
            Map<InetSocketAddress, String> holders,
            Section section,
            String key,
            InetSocketAddress address,
            Problems problems) {
        if (address.getPort() == 0) {
            return;
        }
        String other = holders.putIfAbsent(address, section.path(key));
        if (other != null) {
            problems.sameAddress(
                    section.place(key),
                    section.path(key),
                    address.getAddress().getHostAddress() + ":" + address.getPort(),
                    other);
        }
    }
}
