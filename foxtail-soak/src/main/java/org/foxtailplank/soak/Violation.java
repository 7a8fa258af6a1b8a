package org.foxtailplank.soak;

/**
 * A promise that was broken.
 *
 * @param atMs when it showed, in milliseconds from the first caller
 * @param text what was seen
 */
record Violation(long atMs, String text) {}
