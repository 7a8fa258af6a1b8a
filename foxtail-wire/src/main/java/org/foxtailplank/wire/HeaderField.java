package org.foxtailplank.wire;

/**
 * One field of an HTTP header.
 *
 * @param name its name
 * @param value its value
 */
public record HeaderField(String name, String value) {}
