package org.foxtailplank.http;

import java.util.Optional;

/**
 * A request received by a server.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query without the question mark; empty if there is none
 * @param host value of the Host header without the port
 * @param headers request headers
 * @param body request body
 */
public record HttpRequest(
        String method, String path, String query, String host, HeaderLookup headers, byte[] body) {

    /** Looks up a header by name. */
    public interface HeaderLookup {
        Optional<String> get(String name);
    }

    /** Returns the value of an integer header, or empty if it is missing or malformed. */
    public Optional<Long> number(String header) {
        try {
            return headers.get(header).map(v -> Long.parseLong(v.trim()));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
