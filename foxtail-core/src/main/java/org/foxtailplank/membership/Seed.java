package org.foxtailplank.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;

/**
 * A place where a peer may be met, known from the settings or from the platform's lagging list.
 *
 * <p>Who stands there is known only once it has proved its identity.
 *
 * @param node name expected there
 * @param address address for peers
 */
public record Seed(NodeId node, InetSocketAddress address) {

    /** The processes named by the settings. */
    public static List<Seed> from(Settings settings) {
        return settings.nodes().entrySet().stream().map(Seed::from).toList();
    }

    private static Seed from(Map.Entry<NodeId, NodeSettings> entry) {
        return new Seed(entry.getKey(), entry.getValue().peers());
    }
}
