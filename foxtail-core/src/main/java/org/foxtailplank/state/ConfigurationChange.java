package org.foxtailplank.state;

/** A change of the configuration, on condition of the version that it was made from. */
public sealed interface ConfigurationChange extends Change
        permits ConfigurationPublished, ConfigurationChanged {}
