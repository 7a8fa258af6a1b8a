package org.foxtailplank.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.net.URI;

/**
 * A whole answer to an HTTP call.
 *
 * @param from address that was called
 * @param status HTTP status
 * @param body text of the body
 */
public record HttpAnswer(URI from, int status, String body) {
    private static final int FIRST_ERROR = 300;

    /** Whether the status says that the call worked. */
    public boolean isOk() {
        return status < FIRST_ERROR;
    }

    /** The body as a value of a type. */
    public <T> T as(Class<T> type) throws HttpCallException {
        try {
            return Json.read(body, type);
        } catch (JsonProcessingException e) {
            throw new HttpCallException(HttpCallException.Kind.MALFORMED, from, e);
        }
    }

    /** The body as a tree; null when it is empty. */
    public JsonNode tree() throws HttpCallException {
        return body.isEmpty() ? NullNode.getInstance() : as(JsonNode.class);
    }

    /** What the answer says went wrong, in its own words. */
    public String error() {
        try {
            String error = Json.parse(body).path("error").asText("");
            return error.isEmpty() ? "status " + status : error;
        } catch (JsonProcessingException e) {
            return "status " + status;
        }
    }
}
