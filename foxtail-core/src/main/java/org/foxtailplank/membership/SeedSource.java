package org.foxtailplank.membership;

/** Where a list of places to meet peers came from; a newer list replaces that of its source. */
public enum SeedSource {
    SETTINGS,
    PLATFORM
}
