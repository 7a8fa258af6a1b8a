package org.foxtailplank.entry.internal.caller;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations in headers, for example {@code 800ms} or {@code 2s}. */
final class Durations {

    private static final Pattern FORMAT = Pattern.compile("(\\d{1,9})(ms|s|m)");

    private Durations() {}

    static Optional<Duration> parse(String text) {
        Matcher m = FORMAT.matcher(text.strip());
        if (!m.matches()) {
            return Optional.empty();
        }
        long n = Long.parseLong(m.group(1));
        return Optional.of(
                switch (m.group(2)) {
                    case "ms" -> Duration.ofMillis(n);
                    case "s" -> Duration.ofSeconds(n);
                    default -> Duration.ofMinutes(n);
                });
    }
}
