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
import org.foxtailplank.entry.internal.flow.Answers;
import org.foxtailplank.entry.internal.flow.RequestFlow;
import org.foxtailplank.entry.internal.metrics.RequestCounters;
import org.foxtailplank.process.Log;
import org.foxtailplank.request.Outcome;

/** Turns one HTTP request into one answer. */
public final class CallerHandler {

    private static final Log LOG = Log.of("entry");
    private static final String HEALTH = "/health";
    private static final String KEYS = "/keys";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final ClassicActorSystemProvider mSystem;
    private final EntryState mState;
    private final BodyReader mBodies;
    private final RequestFlow mFlow;
    private final RequestCounters mCounters;

    /** Answers requests by a flow and counts how they end. */
    public CallerHandler(
            ClassicActorSystemProvider system,
            EntryState state,
            RequestFlow flow,
            RequestCounters counters) {
        mSystem = system;
        mState = state;
        mBodies = new BodyReader(system);
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
            Answer key = mFlow.issueKey().map(Answers::issuedKey).orElseGet(Answers::keysNotServed);
            return CompletableFuture.completedFuture(Responses.of(key, "keys", keepAlive.get()));
        }
        long arrived = System.nanoTime();
        RequestParser.Head head;
        try {
            head = RequestParser.parse(http, mState.settings());
        } catch (BadRequestException e) {
            // The connection is closed as well: its unread body may be of any size.
            http.discardEntityBytes(mSystem);
            return CompletableFuture.completedFuture(Responses.of(e.answer(), "none", ""));
        }
        return mBodies.with(
                        http,
                        head.deadline(),
                        mState.settings().limits().maxBodyBytes(),
                        body -> counted(head.withBody(http, body, arrived)))
                .thenApply(a -> Responses.of(a, head.id(), closes(a) ? "" : keepAlive.get()))
                .exceptionally(e -> failed(head.id(), e));
    }

    /** An answer to a body that was not read leaves the rest of it on the connection. */
    private static boolean closes(Answer a) {
        return a.outcome() == Outcome.NOT_RUN && a.retryAfter().isEmpty();
    }

    /** A fault of ours, at a point where the request may have been sent. */
    private static HttpResponse failed(String id, Throwable e) {
        LOG.with("request", id).error("The request failed inside the entry: {0}.", e);
        return Responses.of(Answers.failedInside(), id, "");
    }

    private CompletionStage<Answer> counted(CallerRequest r) {
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
            log.debug("Request for {0} ends {1} {2}.", r.service(), a.status(), a.outcome().text());
        } else {
            log.info("Request for {0} ends {1} {2}.", r.service(), a.status(), a.outcome().text());
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
