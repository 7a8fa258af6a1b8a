package org.foxtailplank.platform.internal.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.foxtailplank.id.ZoneId;

/** Spelling of names and words in paths and documents. */
final class Paths {

    private Paths() {}

    /** A name as one segment of a path. */
    static String segment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** The query that narrows a list to an availability zone. */
    static String zoneQuery(Optional<ZoneId> zone) {
        return zone.map(z -> "?zone=" + segment(z.value())).orElse("");
    }

    /** A constant as the platform writes it. */
    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /** The name of the constant that the platform writes so. */
    static String constant(String word) {
        return word.toUpperCase(Locale.ROOT);
    }
}
