package org.foxtailplank.entry;

import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.settings.Settings;

/**
 * Start options of a node.
 *
 * @param node name of the node in the settings
 * @param settings initial settings; addresses, platform and peers don't change while it runs
 * @param roles roles of the node
 * @param newDeployment whether an empty claims stream is that of a new deployment rather than a
 *     loss
 */
public record NodeOptions(
        NodeId node, Settings settings, Set<NodeRole> roles, boolean newDeployment) {

    public NodeOptions {
        roles = Set.copyOf(roles);
    }
}
