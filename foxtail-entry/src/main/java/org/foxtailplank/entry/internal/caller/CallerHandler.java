package org.foxtailplank.entry.internal.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.internal.flow.EntryAnswers;
import org.foxtailplank.entry.internal.flow.RequestFlow;
import org.foxtailplank.entry.internal.metrics.RequestCounters;
import org.foxtailplank.process.Log;
import org.foxtailplank.request.Outcome;

/** Handles callers' HTTP requests. */
public final class CallerHandler {

    private static final Log LOG = Log.of("entry");
    private static final String HEALTH = "/health";
    private static final String KEYS = "/keys";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final ClassicActorSystemProvider mSystem;
    private final EntryState mState;
    private final BodyReader mBodyReader;
    private final RequestFlow mFlow;
    private final RequestCounters mCounters;

    /** Creates a handler that answers requests by a flow and counts their results. */
    public CallerHandler(
            ClassicActorSystemProvider system,
            EntryState state,
            RequestFlow flow,
            RequestCounters counters) {
        mSystem = system;
        mState = state;
        mBodyReader = new BodyReader(system);
        mFlow = flow;
        mCounters = counters;
    }

    CompletionStage<HttpResponse> answer(HttpRequest http, Supplier<String> keepAlive) {
        if (http.getUri().getPathString().equals(HEALTH)) {
            http.discardEntityBytes(mSystem);
            return CompletableFuture.completedFuture(
                    Responses.of(health(), "health", keepAlive.get()));
        }
        if (http.getUri().getPathString().equals(KEYS) && http.method().equals(HttpMethods.POST)) {
            http.discardEntityBytes(mSystem);
            Answer key =
                    mFlow.issueKey()
                            .map(EntryAnswers::issuedKey)
                            .orElseGet(EntryAnswers::keysUnavailable);
            return CompletableFuture.completedFuture(Responses.of(key, "keys", keepAlive.get()));
        }
        long arrived = System.nanoTime();
        RequestParser.Head head;
        try {
            head = RequestParser.parse(http, mState.settings());
        } catch (BadRequestException e) {
            // Closes the connection too, since the unread body may be of any size.
            http.discardEntityBytes(mSystem);
            return CompletableFuture.completedFuture(Responses.of(e.answer(), "none", ""));
        }
        return mBodyReader
                .readAndAnswer(
                        http,
                        head.deadline(),
                        mState.settings().limits().maxBodyBytes(),
                        body -> answerAndCount(head.withBody(http, body, arrived)))
                .thenApply(a -> Responses.of(a, head.id(), mustClose(a) ? "" : keepAlive.get()))
                .exceptionally(e -> internalError(head.id(), e));
    }

    /** Whether the connection must be closed, because the body may not have been read. */
    private static boolean mustClose(Answer a) {
        return a.outcome() == Outcome.NOT_RUN && a.retryAfter().isEmpty();
    }

    /** Answers an internal error that occurred after the request may have been sent. */
    private static HttpResponse internalError(String id, Throwable e) {
        LOG.with("request", id).error("The request failed with an internal error: {0}.", e);
        return Responses.of(EntryAnswers.internalError(), id, "");
    }

    private CompletionStage<Answer> answerAndCount(CallerRequest r) {
        return mFlow.answer(r)
                .thenApply(
                        a -> {
                            mCounters.ended(r, a, System.nanoTime());
                            log(r, a);
                            return a;
                        });
    }

    private static void log(CallerRequest r, Answer a) {
        Log log = LOG.with("request", r.id());
        if (a.outcome() == Outcome.OK) {
            log.debug(
                    "Request for {0} ended with {1} {2}.",
                    r.service(), a.status(), a.outcome().text());
        } else {
            log.info(
                    "Request for {0} ended with {1} {2}.",
                    r.service(), a.status(), a.outcome().text());
        }
    }

    private Answer health() {
        boolean leaving = mState.leaving();
        String json = "{\"state\":\"" + (leaving ? "leaving" : "serving") + "\"}";
        return new Answer(
                leaving ? UNAVAILABLE : OK,
                Outcome.OK,
                Optional.empty(),
                "application/json",
                List.of(),
                json.getBytes(StandardCharsets.UTF_8));
    }
}
