package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.foxtailplank.platform.FleetLog;
import org.foxtailplank.platform.burn.BurnLog;
import org.foxtailplank.process.JsonRoutes;
import org.foxtailplank.process.Log;
import org.foxtailplank.settings.Settings;

/** Answers the HTTP calls of operators and teams. */
public final class AdminApi {
    private static final Log LOG = Log.of("admin");
    private static final long MAX_BODY_BYTES = 4L << 20;
    private static final long BODY_TIMEOUT_MS = 10_000;

    private final ClassicActorSystemProvider mSystem;
    private final Tokens mTokens;
    private final List<Endpoint> mEndpoints = new ArrayList<>();

    /** An API over the agreed state. */
    public AdminApi(ClassicActorSystemProvider system, AdminParts parts) {
        mSystem = system;
        FleetLog log = parts.log();
        Supplier<Settings> settings = parts.settings();
        Submitter submitter = new Submitter(log, parts.writer());
        mTokens = new Tokens(() -> settings.get().teams());
        mEndpoints.addAll(new Explains(log, settings, parts.watch(), parts.clock()).endpoints());
        mEndpoints.addAll(new Reads(log, settings, parts.self(), parts.peers()).endpoints());
        mEndpoints.addAll(new Publications(log, submitter, parts.checker()).endpoints());
        mEndpoints.addAll(new Changes(log, submitter, settings).endpoints());
    }

    /** Answers for service-level burn as well. */
    public void serveBurn(BurnLog burn, Settings settings) {
        mEndpoints.addAll(new BurnReads(burn, settings, InstantSource.system()).endpoints());
    }

    /** Answers one call; the stage never fails. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        return request.entity()
                .withSizeLimit(MAX_BODY_BYTES)
                .toStrict(BODY_TIMEOUT_MS, mSystem)
                .handle((body, error) -> error == null ? body.getData().utf8String() : null)
                .thenCompose(body -> answer(request, body))
                .exceptionally(AdminApi::failed)
                .thenApply(a -> JsonRoutes.answer(a.status(), a.body()));
    }

    private CompletionStage<Answer> answer(HttpRequest request, String body) {
        Optional<Caller> caller =
                mTokens.find(request.getHeader("Authorization").map(h -> h.value()));
        if (caller.isEmpty()) {
            return completedFuture(Answer.problem(Problem.noToken()));
        }
        if (body == null) {
            String detail = "It did not arrive whole, or is over " + MAX_BODY_BYTES + " bytes.";
            return completedFuture(Answer.problem(Problem.badBody(detail)));
        }
        return dispatch(request, caller.get(), body);
    }

    private CompletionStage<Answer> dispatch(HttpRequest request, Caller caller, String body) {
        String path = request.getUri().path();
        List<String> segments = Endpoint.segments(path);
        String method = request.method().value();
        boolean pathKnown = false;
        for (Endpoint endpoint : mEndpoints) {
            Optional<List<String>> names = endpoint.match(segments);
            if (names.isEmpty()) {
                continue;
            }
            pathKnown = true;
            if (endpoint.method().equals(method)) {
                return call(endpoint, new Call(caller, names.get(), query(request), body));
            }
        }
        return completedFuture(
                Answer.problem(pathKnown ? Problem.noMethod(method, path) : Problem.noPath(path)));
    }

    private static CompletionStage<Answer> call(Endpoint endpoint, Call call) {
        Caller caller = call.caller();
        if (!caller.role().includes(endpoint.role())) {
            String team = caller.team().value();
            return completedFuture(
                    Answer.problem(Problem.roleTooLow(team, caller.role(), endpoint.role())));
        }
        try {
            return endpoint.handler().handle(call);
        } catch (Call.BadBodyException | IllegalArgumentException e) {
            return completedFuture(Answer.problem(Problem.badBody(e.getMessage())));
        }
    }

    private static Map<String, String> query(HttpRequest request) {
        return request.getUri().query().toList().stream()
                .collect(Collectors.toMap(Pair::first, Pair::second, (a, b) -> b));
    }

    private static Answer failed(Throwable error) {
        LOG.error("A call failed: {0}.", error);
        return Answer.problem(Problem.internal());
    }
}
