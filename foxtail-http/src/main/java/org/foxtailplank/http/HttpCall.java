package org.foxtailplank.http;

import java.util.Map;

/**
 * A request sent by a client.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers additional headers, without those for the body and the connection
 * @param body request body; empty if there is none
 * @param contentType media type of the body; empty if there is none
 */
public record HttpCall(
        String method, String path, Map<String, String> headers, byte[] body, String contentType) {
    private static final byte[] NO_BODY = {};

    public HttpCall {
        headers = Map.copyOf(headers);
    }

    /** Creates a GET request. */
    public static HttpCall get(String path) {
        return new HttpCall("GET", path, Map.of(), NO_BODY, "");
    }

    /** Creates a POST request with a JSON body. */
    public static HttpCall postJson(String path, byte[] body) {
        return new HttpCall("POST", path, Map.of(), body, "application/json");
    }

    /** Creates a POST request with a binary body. */
    public static HttpCall postBytes(String path, byte[] body) {
        return new HttpCall("POST", path, Map.of(), body, "application/octet-stream");
    }

    /** Returns a copy with these headers in place of the current ones. */
    public HttpCall with(Map<String, String> more) {
        return new HttpCall(method, path, more, body, contentType);
    }
}
