package org.foxtailplank.wire;

/**
 * HTTP header field.
 *
 * @param name field name
 * @param value field value
 */
public record HeaderField(String name, String value) {}
