package org.foxtailplank.entry;

import java.util.Set;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.settings.Settings;

/**
 * How a process of the system is started.
 *
 * @param node the node, which the settings name
 * @param settings its settings; addresses, platform and peers stay those of the start
 * @param roles what it does
 * @param newDeployment whether an empty stream of claims was never written, rather than lost
 */
public record NodeOptions(
        NodeId node, Settings settings, Set<NodeRole> roles, boolean newDeployment) {

    public NodeOptions {
        roles = Set.copyOf(roles);
    }
}
