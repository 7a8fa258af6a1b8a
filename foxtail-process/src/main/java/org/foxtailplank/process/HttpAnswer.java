package org.foxtailplank.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.net.URI;

/**
 * Complete response to an HTTP call.
 *
 * @param from called address
 * @param status HTTP status
 * @param body body as text
 */
public record HttpAnswer(URI from, int status, String body) {
    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    /** Returns whether the status is below 300. */
    public boolean isOk() {
        return status < FIRST_NON_SUCCESS_STATUS;
    }

    /** Parses the body as a value of a type. */
    public <T> T as(Class<T> type) throws HttpCallException {
        try {
            return Json.read(body, type);
        } catch (JsonProcessingException e) {
            throw new HttpCallException(HttpCallException.Kind.MALFORMED, from, e);
        }
    }

    /** Parses the body as a tree; a null node if it is empty. */
    public JsonNode tree() throws HttpCallException {
        return body.isEmpty() ? NullNode.getInstance() : as(JsonNode.class);
    }

    /** Returns the error message of the body, or the status if there is none. */
    public String error() {
        try {
            String error = Json.parse(body).path("error").asText("");
            return error.isEmpty() ? "status " + status : error;
        } catch (JsonProcessingException e) {
            return "status " + status;
        }
    }
}
