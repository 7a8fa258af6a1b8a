package org.foxtailplank.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/**
 * The answer to a caller's request.
 *
 * @param status HTTP status
 * @param outcome outcome of the request
 * @param retryAfter delay before the next attempt, for a refused request
 * @param contentType media type of the body
 * @param headers headers to forward
 * @param body complete body
 */
public record Answer(
        int status,
        Outcome outcome,
        Optional<Duration> retryAfter,
        String contentType,
        List<Header> headers,
        byte[] body) {

    public Answer {
        headers = List.copyOf(headers);
    }
}
