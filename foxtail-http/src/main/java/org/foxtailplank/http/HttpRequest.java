package org.foxtailplank.http;

import java.util.Optional;

/**
 * A request that a server has read.
 *
 * @param method its method
 * @param path path without the query
 * @param query the query, without its question mark; empty for none
 * @param host host that it names, without a port
 * @param headers its headers
 * @param body its body
 */
public record HttpRequest(
        String method, String path, String query, String host, HeaderLookup headers, byte[] body) {

    /** Finds a header by its name. */
    public interface HeaderLookup {
        Optional<String> get(String name);
    }

    /** A header with a whole number; empty if it is missing or none. */
    public Optional<Long> number(String header) {
        try {
            return headers.get(header).map(v -> Long.parseLong(v.trim()));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
