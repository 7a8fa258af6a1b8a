package org.foxtailplank.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;

/**
 * A contact address of a peer, from the settings or from the platform's possibly outdated list.
 *
 * <p>The node at the address is unverified until it has authenticated.
 *
 * @param node expected node id
 * @param address address for peer connections
 */
public record Seed(NodeId node, InetSocketAddress address) {

    /** Returns the seeds listed in the settings. */
    public static List<Seed> from(Settings settings) {
        return settings.nodes().entrySet().stream().map(Seed::from).toList();
    }

    private static Seed from(Map.Entry<NodeId, NodeSettings> entry) {
        return new Seed(entry.getKey(), entry.getValue().peers());
    }
}
