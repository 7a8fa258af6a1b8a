package org.foxtailplank.internal.settings;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Durations and sizes with units. */
public final class Units {
    /** What a duration may look like, for messages. */
    public static final String DURATION_FORM =
            "a duration with a unit (us, ms, s, m, h, d), for example \"800ms\"";

    /** What a size may look like, for messages. */
    public static final String SIZE_FORM =
            "a size with a unit (B, KiB, MiB, GiB, TiB), for example \"64GiB\"";

    private static final Pattern FORM = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,9})?)([A-Za-z]+)");
    private static final Map<String, Long> NANOS =
            Map.of(
                    "us", 1_000L,
                    "ms", 1_000_000L,
                    "s", 1_000_000_000L,
                    "m", 60_000_000_000L,
                    "h", 3_600_000_000_000L,
                    "d", 86_400_000_000_000L);
    private static final Map<String, Long> BYTES =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30, "TiB", 1L << 40);

    private Units() {}

    /** Reads a duration such as {@code 800ms}. */
    public static Optional<Duration> duration(String text) {
        return amount(text, NANOS).map(Duration::ofNanos);
    }

    /** Reads a size such as {@code 64GiB}, in bytes. */
    public static Optional<Long> size(String text) {
        return amount(text, BYTES);
    }

    private static Optional<Long> amount(String text, Map<String, Long> units) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches() || !units.containsKey(matcher.group(2))) {
            return Optional.empty();
        }
        BigDecimal unit = BigDecimal.valueOf(units.get(matcher.group(2)));
        BigDecimal amount = new BigDecimal(matcher.group(1)).multiply(unit);
        if (amount.compareTo(BigDecimal.valueOf(Long.MAX_VALUE)) > 0) {
            return Optional.empty();
        }
        return Optional.of(amount.setScale(0, RoundingMode.HALF_UP).longValueExact());
    }

    /** A duration in its largest whole unit. */
    public static String text(Duration duration) {
        return text(duration.toNanos(), NANOS);
    }

    /** A size in its largest whole unit. */
    public static String text(long bytes) {
        return text(bytes, BYTES);
    }

    private static String text(long amount, Map<String, Long> units) {
        Map.Entry<String, Long> largest =
                units.entrySet().stream()
                        .filter(u -> amount % u.getValue() == 0)
                        .max(Map.Entry.comparingByValue())
                        .orElseThrow();
        return amount / largest.getValue() + largest.getKey();
    }
}
