package org.foxtailplank.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * An answer that a server gives.
 *
 * @param status its status
 * @param headers headers besides those of the body and the connection
 * @param contentType type of the body
 * @param body the body
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

    /** The same answer with further headers. */
    public HttpReply with(Map<String, String> more) {
        return new HttpReply(status, more, contentType, body);
    }
}
