package org.foxtailplank.entry;

/**
 * An HTTP header to forward.
 *
 * @param name header name
 * @param value header value
 */
public record Header(String name, String value) {}
