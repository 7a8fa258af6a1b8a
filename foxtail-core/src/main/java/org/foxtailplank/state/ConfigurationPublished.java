package org.foxtailplank.state;

import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.ZoneId;

/**
 * Publication of a complete configuration.
 *
 * @param base base file, JSON with comments
 * @param overlays overlay of each site
 * @param topology part of the configuration that the fold uses
 * @param author who published it, and why
 */
public record ConfigurationPublished(
        String base, Map<ZoneId, String> overlays, FleetTopology topology, ChangeAuthor author)
        implements ConfigurationChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.configuration());
    }
}
