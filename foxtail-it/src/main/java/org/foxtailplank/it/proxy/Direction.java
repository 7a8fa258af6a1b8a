package org.foxtailplank.it.proxy;

/** Which way bytes go. */
public enum Direction {
    TO_TARGET,
    TO_CLIENT
}
