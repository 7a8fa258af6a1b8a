package org.foxtailplank.internal.settings;

/**
 * A line of a settings file.
 *
 * @param file name of the file
 * @param line line, from 1
 */
public record Place(String file, int line) {
    @Override
    public String toString() {
        return file + ":" + line;
    }
}
