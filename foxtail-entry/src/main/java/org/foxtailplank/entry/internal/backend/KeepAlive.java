package org.foxtailplank.entry.internal.backend;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the header {@code Keep-Alive: timeout=5}. */
final class KeepAlive {

    private static final Pattern TIMEOUT = Pattern.compile("(?:^|[,\\s])timeout=(\\d{1,6})");

    private KeepAlive() {}

    static Optional<Duration> timeout(String value) {
        Matcher m = TIMEOUT.matcher(value);
        return m.find()
                ? Optional.of(Duration.ofSeconds(Long.parseLong(m.group(1))))
                : Optional.empty();
    }
}
