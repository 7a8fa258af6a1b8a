package org.foxtailplank.entry.internal.flow;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.internal.backend.AttemptResult;
import org.foxtailplank.request.Outcome;

/** Answers that the entry creates itself, with their texts. */
public final class EntryAnswers {

    private static final String TEXT = "text/plain; charset=UTF-8";
    private static final Duration SHORT_RETRY_DELAY = Duration.ofSeconds(1);

    private EntryAnswers() {}

    /** Returns the answer for a complete response of a backend server. */
    public static Answer of(AttemptResult.Answered answered) {
        return new Answer(
                answered.status(),
                Outcome.OK,
                Optional.empty(),
                answered.contentType(),
                answered.headers(),
                answered.body());
    }

    /** The caller's request is invalid or not allowed. */
    public static Answer rejected(int status, String why) {
        return text(status, Outcome.NOT_RUN, Optional.empty(), why);
    }

    /** The requested service does not exist. */
    public static Answer unknownService(String service) {
        String why =
                "Not run: there is no service \"%s\" in the configuration in force."
                        + " Check the path, /s/{service}/{path}.";
        return rejected(404, why.formatted(service));
    }

    /** The request would not be sent before its deadline. */
    public static Answer tooLate(Duration wait) {
        return refused(
                503, wait, "the service is busy and this request's turn would come too late");
    }

    /** The team has more waiting requests than its quota allows. */
    public static Answer overQuota(String team, Duration wait) {
        return refused(
                429, wait, "the service is busy and team \"" + team + "\" is over its quota");
    }

    /** The entry's queue or body memory is full. */
    public static Answer queueFull(Duration wait) {
        return refused(503, wait, "this entry holds as many waiting requests as it can");
    }

    /** No backend server of the service is available. */
    public static Answer noBackendServer() {
        return refused(503, SHORT_RETRY_DELAY, "no backend server of this service can be reached");
    }

    /** Every attempted instance declined the request or could not be connected to. */
    public static Answer noServerAccepted(String why) {
        return refused(503, SHORT_RETRY_DELAY, "no backend server took the request (" + why + ")");
    }

    /** The entry is shutting down and accepts no more requests. */
    public static Answer leaving() {
        return refused(503, SHORT_RETRY_DELAY, "this entry is shutting down");
    }

    /** A caller's address has too many connections. */
    public static Answer tooManyConnections() {
        return refused(
                429, SHORT_RETRY_DELAY, "this address holds more connections than one caller may");
    }

    /** A key was issued. */
    public static Answer issuedKey(String key) {
        byte[] body = ("{\"key\":\"" + key + "\"}\n").getBytes(StandardCharsets.UTF_8);
        return new Answer(201, Outcome.OK, Optional.empty(), "application/json", List.of(), body);
    }

    /** The entry can't protect idempotency keys. */
    public static Answer keysUnavailable() {
        return refused(
                503, SHORT_RETRY_DELAY, "this entry can't protect idempotency keys at the moment");
    }

    /** The request was sent, but no complete answer was received. */
    public static Answer unknown(AttemptResult.Lost unknown) {
        int status = unknown.timedOut() ? 504 : 502;
        String why =
                "Unknown: the request was sent to a backend server and no whole answer came back ("
                        + unknown.why()
                        + "). It may have run. Ask again only if it may be repeated, or with the"
                        + " same idempotency key.";
        return text(status, Outcome.UNKNOWN, Optional.empty(), why);
    }

    /** The entry failed internally after the request may have been sent. */
    public static Answer internalError() {
        String why =
                "Unknown: the entry failed while it handled the request, which may have run. Ask"
                        + " again only if it may be repeated, or with the same idempotency key.";
        return text(500, Outcome.UNKNOWN, Optional.empty(), why);
    }

    private static Answer refused(int status, Duration wait, String why) {
        long seconds = Math.max(1, wait.plusMillis(999).toSeconds());
        String text = "Not run: " + why + ". Ask again after " + seconds + " s.";
        return text(status, Outcome.NOT_RUN, Optional.of(Duration.ofSeconds(seconds)), text);
    }

    private static Answer text(int status, Outcome outcome, Optional<Duration> wait, String why) {
        byte[] body = (why + "\n").getBytes(StandardCharsets.UTF_8);
        return new Answer(status, outcome, wait, TEXT, List.of(), body);
    }
}
