package org.foxtailplank.internal.settings;

/** Paths of values in a settings file, for example {@code pools.claims.vms[2]}. */
final class Paths {
    private Paths() {}

    static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    static String item(String path, int index) {
        return path + "[" + index + "]";
    }
}
