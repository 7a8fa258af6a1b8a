package org.foxtailplank.entry.internal.caller;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.internal.flow.Answers;
import org.foxtailplank.entry.internal.flow.RequestFlow;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.settings.Settings;

/** Turns one HTTP request into one answer. */
public final class CallerHandler {

    private static final Logger LOG = System.getLogger("entry");
    private static final String HEALTH = "/health";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_SLOW = 408;
    private static final int TOO_LARGE = 413;

    private final ClassicActorSystemProvider mSystem;
    private final Supplier<Settings> mSettings;
    private final RequestFlow mFlow;
    private final BooleanSupplier mLeaving;

    /**
     * Answers requests by a flow.
     *
     * @param leaving whether the health answer is to send the balancer away
     */
    public CallerHandler(
            ClassicActorSystemProvider system,
            Supplier<Settings> settings,
            RequestFlow flow,
            BooleanSupplier leaving) {
        mSystem = system;
        mSettings = settings;
        mFlow = flow;
        mLeaving = leaving;
    }

    CompletionStage<HttpResponse> answer(HttpRequest http, Supplier<String> keepAlive) {
        if (http.getUri().getPathString().equals(HEALTH)) {
            http.discardEntityBytes(mSystem);
            return CompletableFuture.completedFuture(
                    Responses.of(health(), "health", keepAlive.get()));
        }
        long arrived = System.nanoTime();
        RequestParser.Head head;
        try {
            head = RequestParser.parse(http, mSettings.get());
        } catch (BadRequestException e) {
            // The connection is closed as well: its unread body may be of any size.
            http.discardEntityBytes(mSystem);
            return CompletableFuture.completedFuture(Responses.of(e.answer(), "none", ""));
        }
        String id = head.id();
        return http.entity()
                .toStrict(
                        head.deadline().toMillis(),
                        mSettings.get().limits().maxBodyBytes(),
                        mSystem)
                .thenApply(body -> head.withBody(http, body, arrived))
                .thenCompose(mFlow::answer)
                .thenApply(a -> logged(a, id, head, keepAlive.get()))
                .exceptionally(e -> Responses.of(unread(e), id, ""));
    }

    private HttpResponse logged(Answer a, String id, RequestParser.Head head, String keepAlive) {
        Level level = a.outcome() == Outcome.OK ? Level.DEBUG : Level.INFO;
        LOG.log(
                level,
                "entry: {0} for {1} ends {2} {3}",
                id,
                head.service(),
                a.status(),
                a.outcome());
        return Responses.of(a, id, keepAlive);
    }

    private static Answer unread(Throwable e) {
        Throwable cause = e instanceof CompletionException ? e.getCause() : e;
        if (cause instanceof EntityStreamSizeException) {
            return Answers.bad(TOO_LARGE, "Not run: the body is larger than allowed.");
        }
        return Answers.bad(TOO_SLOW, "Not run: the body did not come whole and in time.");
    }

    private Answer health() {
        boolean leaving = mLeaving.getAsBoolean();
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
