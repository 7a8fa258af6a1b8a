package org.foxtailplank.state;

import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.ZoneId;

/**
 * A JSON merge patch for the configuration in force; keeps the records of small changes small.
 *
 * @param basePatch merge patch of the base
 * @param overlayPatches merge patch of each changed overlay
 * @param topologyPatch new and changed entries of the fleet topology
 * @param author who made the change, and why
 */
public record ConfigurationChanged(
        String basePatch,
        Map<ZoneId, String> overlayPatches,
        FleetTopology topologyPatch,
        ChangeAuthor author)
        implements ConfigurationChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.configuration());
    }
}
