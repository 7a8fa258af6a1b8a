package org.foxtailplank.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A response sent by a server.
 *
 * @param status HTTP status
 * @param headers additional headers, without those for the body and the connection
 * @param contentType media type of the body; empty if there is none
 * @param body response body
 */
public record HttpReply(int status, Map<String, String> headers, String contentType, byte[] body) {
    private static final byte[] NO_BODY = {};

    public HttpReply {
        headers = Map.copyOf(headers);
    }

    public static HttpReply empty(int status) {
        return new HttpReply(status, Map.of(), "", NO_BODY);
    }

    public static HttpReply json(int status, String text) {
        return new HttpReply(
                status, Map.of(), "application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    public static HttpReply text(int status, String text) {
        return new HttpReply(status, Map.of(), "text/plain", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a copy with these headers in place of the current ones. */
    public HttpReply with(Map<String, String> more) {
        return new HttpReply(status, more, contentType, body);
    }
}
