package org.foxtailplank.settings;

import java.util.List;

/**
 * Where each value of merged settings came from.
 *
 * @param values the values, in the order in which they are written
 */
public record SettingsOrigins(List<Value> values) {
    public SettingsOrigins {
        values = List.copyOf(values);
    }

    /**
     * One value.
     *
     * @param path its path, for example {@code fleet.wakeTime}
     * @param text the value as JSON
     * @param file file that states it
     * @param line line in that file
     */
    public record Value(String path, String text, String file, int line) {}
}
