package org.foxtailplank.controller.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import java.util.Map;
import org.foxtailplank.state.ChangeAuthor;

/**
 * An authenticated request to the administration API.
 *
 * @param principal authenticated team
 * @param pathParameters values of the path placeholders, in order
 * @param query query parameters
 * @param body the body as text
 */
record ApiRequest(
        Principal principal, List<String> pathParameters, Map<String, String> query, String body) {
    static final ObjectMapper JSON =
            new ObjectMapper()
                    .registerModule(new Jdk8Module())
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    String pathParameter() {
        return pathParameters.get(0);
    }

    /** Returns the author of a change as stored in the log. */
    ChangeAuthor author(RequestBodies.ChangeBody body) {
        String team = principal.team().value();
        String who = body.who() == null || body.who().isBlank() ? team : team + "/" + body.who();
        return new ChangeAuthor(who, body.why());
    }

    /** Parses the body into a record. */
    <T> T parseBody(Class<T> type) throws InvalidBodyException {
        if (body.isBlank()) {
            throw new InvalidBodyException("The body is empty.");
        }
        try {
            T parsed = JSON.readValue(body, type);
            if (parsed == null) {
                throw new InvalidBodyException("The body is null.");
            }
            return parsed;
        } catch (ValueInstantiationException e) {
            throw new InvalidBodyException(e.getCause().getMessage());
        } catch (JsonProcessingException e) {
            throw new InvalidBodyException(e.getOriginalMessage() + location(e));
        }
    }

    private static String location(JsonProcessingException e) {
        return e.getLocation() == null
                ? ""
                : " (line %d, column %d)"
                        .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
    }

    /** Thrown if the request body is invalid. */
    static final class InvalidBodyException extends Exception {
        InvalidBodyException(String message) {
            super(message);
        }
    }
}
