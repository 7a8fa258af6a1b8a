package org.foxtailplank.settings;

import java.util.List;

/**
 * Where each value of merged settings came from.
 *
 * @param values the values, in the order in which they are written
 */
public record SettingsOrigins(List<Value> values) {
    /** Origin of a value that no file states. */
    public static final String DEFAULT = "default";

    public SettingsOrigins {
        values = List.copyOf(values);
    }

    /**
     * One value.
     *
     * @param path its path, for example {@code fleet.wakeTime}
     * @param text the value as JSON
     * @param origin where it is stated, for example {@code base.jsonc:12}, or {@link #DEFAULT}
     */
    public record Value(String path, String text, String origin) {}
}
