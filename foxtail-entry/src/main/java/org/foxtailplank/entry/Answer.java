package org.foxtailplank.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/**
 * The whole answer to a caller's request.
 *
 * @param status HTTP status
 * @param outcome what became of the request
 * @param retryAfter when a refused caller should come back
 * @param contentType media type of the body
 * @param headers headers that are passed on
 * @param body the whole body
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
