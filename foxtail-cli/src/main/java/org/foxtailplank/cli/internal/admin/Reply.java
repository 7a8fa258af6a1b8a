package org.foxtailplank.cli.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.foxtailplank.cli.internal.command.CliMessages;
import org.foxtailplank.process.Json;
import org.foxtailplank.process.ProcessException;

/** What the administration API answered. */
public sealed interface Reply {
    /**
     * It did what it was asked.
     *
     * @param body the body of the answer
     */
    record Ok(JsonNode body) implements Reply {
        /** The body as a value of a type. */
        public <T> T as(Class<T> type) throws ProcessException {
            return value(body, type);
        }
    }

    /**
     * The change met another one that was there first.
     *
     * @param current the object as it is now
     * @param message the refusal in words
     */
    record Conflict(JsonNode current, String message) implements Reply {
        /** The object as it is now, as a value of a type. */
        public <T> T as(Class<T> type) throws ProcessException {
            return value(current, type);
        }
    }

    /**
     * It refused, and nothing was changed.
     *
     * @param badInput whether what was sent is wrong
     * @param message the refusal in words
     */
    record Refused(boolean badInput, String message) implements Reply {}

    /**
     * Nobody knows whether the change was made.
     *
     * @param message why
     */
    record Unknown(String message) implements Reply {}

    /** The answer, where anything else ends the command. */
    default Ok orEnd() throws ProcessException {
        if (this instanceof Ok ok) {
            return ok;
        }
        if (this instanceof Refused refused && refused.badInput()) {
            throw ProcessException.usage(refused.message());
        }
        if (this instanceof Refused refused) {
            throw ProcessException.failed(refused.message());
        }
        if (this instanceof Conflict conflict) {
            throw ProcessException.failed(
                    conflict.message() + "\n  It is now: " + conflict.current());
        }
        throw ProcessException.failed(CliMessages.answerLost(((Unknown) this).message()));
    }

    private static <T> T value(JsonNode body, Class<T> type) throws ProcessException {
        try {
            return Json.read(body, type);
        } catch (JsonProcessingException e) {
            throw ProcessException.failed(CliMessages.unreadable(e.getOriginalMessage()), e);
        }
    }
}
