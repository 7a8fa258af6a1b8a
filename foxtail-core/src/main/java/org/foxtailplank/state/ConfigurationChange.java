package org.foxtailplank.state;

/** A change of the configuration; takes effect only on the version that it was made from. */
public sealed interface ConfigurationChange extends Change
        permits ConfigurationPublished, ConfigurationChanged {}
