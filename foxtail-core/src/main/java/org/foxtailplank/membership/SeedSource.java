package org.foxtailplank.membership;

/** Origin of a seed list; a newer list replaces the previous one from the same source. */
public enum SeedSource {
    SETTINGS,
    PLATFORM
}
