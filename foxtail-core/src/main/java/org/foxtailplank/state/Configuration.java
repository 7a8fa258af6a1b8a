package org.foxtailplank.state;

import java.util.Map;
import org.foxtailplank.id.ZoneId;

/**
 * The configuration in force.
 *
 * @param version offset of the record that published it
 * @param base base file
 * @param overlays overlay of each site
 * @param author who published it, and why
 */
public record Configuration(
        long version, String base, Map<ZoneId, String> overlays, ChangeAuthor author) {}
