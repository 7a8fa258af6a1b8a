package org.foxtailplank.settings;

/**
 * One thing that is wrong with settings.
 *
 * @param file name of the file
 * @param line line in it, from 1
 * @param path path of the value, for example {@code pools.claims.vms}; empty for the whole file
 * @param found what was found
 * @param allowed what is allowed there
 */
public record SettingsProblem(String file, int line, String path, String found, String allowed) {
    /** The same problem, with another name of its file. */
    public SettingsProblem inFile(String name) {
        return new SettingsProblem(name, line, path, found, allowed);
    }

    @Override
    public String toString() {
        String where = file + ":" + line + ": " + (path.isEmpty() ? "" : path + ": ");
        return where + "found " + found + "; allowed is " + allowed;
    }
}
