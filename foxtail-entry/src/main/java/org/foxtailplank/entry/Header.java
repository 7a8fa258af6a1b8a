package org.foxtailplank.entry;

/**
 * One HTTP header that is passed on.
 *
 * @param name its name
 * @param value its value
 */
public record Header(String name, String value) {}
