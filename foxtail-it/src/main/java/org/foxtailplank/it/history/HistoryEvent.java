package org.foxtailplank.it.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.foxtailplank.request.Outcome;

/** One thing that a caller, an entry or a backend server saw. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({
    @JsonSubTypes.Type(value = HistoryEvent.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = HistoryEvent.Attempted.class, name = "attempted"),
    @JsonSubTypes.Type(value = HistoryEvent.Executed.class, name = "executed"),
    @JsonSubTypes.Type(value = HistoryEvent.Answered.class, name = "answered")
})
public sealed interface HistoryEvent {

    /** Id of the request it is about. */
    String request();

    /**
     * A caller sends a request.
     *
     * @param request id of the request
     * @param key idempotency key, if it carries one
     * @param repeatable whether it may run more than once
     * @param entry entry that it is sent to
     * @param checksum checksum of its body
     */
    record Sent(
            String request, Optional<String> key, boolean repeatable, String entry, String checksum)
            implements HistoryEvent {}

    /**
     * An entry sends a request to a backend server.
     *
     * @param request id of the request
     * @param entry the entry
     * @param instance the backend server
     */
    record Attempted(String request, String entry, String instance) implements HistoryEvent {}

    /**
     * A backend server runs a request.
     *
     * @param request id of the request
     * @param instance the backend server
     * @param checksum checksum of the body that it saw
     */
    record Executed(String request, String instance, String checksum) implements HistoryEvent {}

    /**
     * A caller has its answer.
     *
     * @param request id of the request
     * @param outcome what it says; unknown where the connection broke
     * @param answers id of the request that the body says it answers; empty where there is no whole
     *     answer of a backend server
     * @param checksum checksum of the body that came back
     */
    record Answered(String request, Outcome outcome, Optional<String> answers, String checksum)
            implements HistoryEvent {}
}
