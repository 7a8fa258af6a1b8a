package org.foxtailplank.state;

import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.ZoneId;

/**
 * A JSON merge patch of the configuration in force; the usual, small way to publish.
 *
 * @param basePatch merge patch of the base
 * @param overlayPatches merge patch of each changed overlay
 * @param shapePatch entries of the shape that are new or different
 * @param author who and why
 */
public record ConfigurationChanged(
        String basePatch, Map<ZoneId, String> overlayPatches, FleetShape shapePatch, Author author)
        implements ConfigurationChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.configuration());
    }
}
