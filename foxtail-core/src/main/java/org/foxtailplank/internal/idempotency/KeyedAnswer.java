package org.foxtailplank.internal.idempotency;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/**
 * What a caller is told about a keyed request.
 *
 * @param outcome what became of it
 * @param status HTTP status
 * @param retryAfter when to come back, for one that did not run
 * @param contentType media type of the body
 * @param fields further headers
 * @param body whole body
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
     * A header.
     *
     * @param name its name
     * @param value its value
     */
    public record Field(String name, String value) {}

    private static final String TEXT = "text/plain; charset=UTF-8";

    /** The whole answer of a backend server. */
    public static KeyedAnswer ok(int status, String contentType, byte[] body) {
        return new KeyedAnswer(Outcome.OK, status, Optional.empty(), contentType, List.of(), body);
    }

    static KeyedAnswer text(Outcome outcome, int status, String text, Optional<Duration> after) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return new KeyedAnswer(outcome, status, after, TEXT, List.of(), body);
    }

    /** Bytes that it takes to remember. */
    long size() {
        long size = body.length + contentType.length();
        for (Field field : fields) {
            size += field.name().length() + field.value().length();
        }
        return size;
    }
}
