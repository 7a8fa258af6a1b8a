package org.foxtailplank.internal.settings;

import java.time.Duration;
import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.foxtailplank.settings.SettingsOrigins;

/** Collects the defaults that were taken because no file states a value. */
public final class Defaults {
    private final Map<String, SettingsOrigins.Value> mValues = new TreeMap<>();

    void add(String path, Object value) {
        mValues.put(path, new SettingsOrigins.Value(path, text(value), SettingsOrigins.DEFAULT));
    }

    /** The defaults, by path. */
    public Collection<SettingsOrigins.Value> values() {
        return mValues.values();
    }

    private static String text(Object value) {
        if (value instanceof Duration duration) {
            return "\"" + Units.text(duration) + "\"";
        }
        if (value instanceof Long bytes) {
            return "\"" + Units.text(bytes) + "\"";
        }
        if (value instanceof Enum<?> choice) {
            return "\"" + choice.name().toLowerCase(Locale.ROOT) + "\"";
        }
        return value.toString();
    }
}
