package org.foxtailplank.state;

import java.util.Map;
import java.util.Set;
import org.foxtailplank.id.ZoneId;

/**
 * A whole configuration is published.
 *
 * @param base base file, JSON with comments
 * @param overlays overlay of each site
 * @param shape what the fold needs to know of it
 * @param author who and why
 */
public record ConfigurationPublished(
        String base, Map<ZoneId, String> overlays, FleetShape shape, Author author)
        implements ConfigurationChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.configuration());
    }
}
