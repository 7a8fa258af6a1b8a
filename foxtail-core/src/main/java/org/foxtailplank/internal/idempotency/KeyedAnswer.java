package org.foxtailplank.internal.idempotency;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/**
 * The answer to a keyed request.
 *
 * @param outcome outcome of the request
 * @param status HTTP status
 * @param retryAfter delay before the next attempt, if the request did not run
 * @param contentType media type of the body
 * @param fields further headers
 * @param body complete body
 */
public record KeyedAnswer(
        Outcome outcome,
        int status,
        Optional<Duration> retryAfter,
        String contentType,
        List<Field> fields,
        byte[] body) {

    public KeyedAnswer {
        fields = List.copyOf(fields);
    }

    /**
     * An HTTP header field.
     *
     * @param name field name
     * @param value field value
     */
    public record Field(String name, String value) {}

    private static final String TEXT = "text/plain; charset=UTF-8";

    /** Returns the answer for a complete response of a backend server. */
    public static KeyedAnswer ok(int status, String contentType, byte[] body) {
        return new KeyedAnswer(Outcome.OK, status, Optional.empty(), contentType, List.of(), body);
    }

    static KeyedAnswer text(Outcome outcome, int status, String text, Optional<Duration> after) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return new KeyedAnswer(outcome, status, after, TEXT, List.of(), body);
    }

    /** Returns the number of bytes that count towards the cache limit. */
    long size() {
        long size = body.length + contentType.length();
        for (Field field : fields) {
            size += field.name().length() + field.value().length();
        }
        return size;
    }
}
