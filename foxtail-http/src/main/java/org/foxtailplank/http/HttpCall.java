package org.foxtailplank.http;

import java.util.Map;

/**
 * A request that a client sends.
 *
 * @param method its method
 * @param path path and query
 * @param headers headers besides those of the body and the connection
 * @param body the body; empty for none
 * @param contentType type of the body
 */
public record HttpCall(
        String method, String path, Map<String, String> headers, byte[] body, String contentType) {
    private static final byte[] NO_BODY = {};

    public HttpCall {
        headers = Map.copyOf(headers);
    }

    /** A request without a body. */
    public static HttpCall get(String path) {
        return new HttpCall("GET", path, Map.of(), NO_BODY, "");
    }

    /** A request with a JSON body. */
    public static HttpCall postJson(String path, byte[] body) {
        return new HttpCall("POST", path, Map.of(), body, "application/json");
    }

    /** A request with a binary body. */
    public static HttpCall postBytes(String path, byte[] body) {
        return new HttpCall("POST", path, Map.of(), body, "application/octet-stream");
    }

    /** The same request with further headers. */
    public HttpCall with(Map<String, String> more) {
        return new HttpCall(method, path, more, body, contentType);
    }
}
