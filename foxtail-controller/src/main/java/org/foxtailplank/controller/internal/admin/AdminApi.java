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

/** Routes HTTP requests of operators and teams to the endpoints of the administration API. */
public final class AdminApi {
    private static final Log LOG = Log.of("admin");
    private static final long MAX_BODY_BYTES = 4L << 20;
    private static final long BODY_TIMEOUT_MS = 10_000;

    private final ClassicActorSystemProvider mSystem;
    private final TokenAuthenticator mAuthenticator;
    private final List<Endpoint> mEndpoints = new ArrayList<>();

    /** Creates the API without burn endpoints. */
    public AdminApi(ClassicActorSystemProvider system, AdminContext context) {
        mSystem = system;
        FleetLog log = context.log();
        Supplier<Settings> settings = context.settings();
        ChangeSubmitter submitter = new ChangeSubmitter(log, context.writer());
        mAuthenticator = new TokenAuthenticator(() -> settings.get().teams());
        mEndpoints.addAll(
                new ExplainEndpoints(log, settings, context.monitor(), context.clock())
                        .endpoints());
        mEndpoints.addAll(
                new ReadEndpoints(log, settings, context.self(), context.peers()).endpoints());
        mEndpoints.addAll(
                new ConfigurationEndpoints(log, submitter, context.checker()).endpoints());
        mEndpoints.addAll(new ChangeEndpoints(log, submitter, settings).endpoints());
    }

    /** Adds the endpoints for error-budget burn. */
    public void addBurnEndpoints(BurnLog burn, Settings settings) {
        mEndpoints.addAll(new BurnEndpoints(burn, settings, InstantSource.system()).endpoints());
    }

    /** Handles a request; the stage never completes exceptionally. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        return request.entity()
                .withSizeLimit(MAX_BODY_BYTES)
                .toStrict(BODY_TIMEOUT_MS, mSystem)
                .handle((body, error) -> error == null ? body.getData().utf8String() : null)
                .thenCompose(body -> respond(request, body))
                .exceptionally(AdminApi::internalError)
                .thenApply(a -> JsonRoutes.answer(a.status(), a.body()));
    }

    private CompletionStage<ApiResponse> respond(HttpRequest request, String body) {
        Optional<Principal> principal =
                mAuthenticator.authenticate(request.getHeader("Authorization").map(h -> h.value()));
        if (principal.isEmpty()) {
            return completedFuture(ApiResponse.problem(Problem.unauthenticated()));
        }
        if (body == null) {
            String detail = "It is incomplete or larger than " + MAX_BODY_BYTES + " bytes.";
            return completedFuture(ApiResponse.problem(Problem.invalidBody(detail)));
        }
        return dispatch(request, principal.get(), body);
    }

    private CompletionStage<ApiResponse> dispatch(
            HttpRequest request, Principal principal, String body) {
        String path = request.getUri().path();
        List<String> segments = Endpoint.segments(path);
        String method = request.method().value();
        boolean pathKnown = false;
        for (Endpoint endpoint : mEndpoints) {
            Optional<List<String>> pathParameters = endpoint.match(segments);
            if (pathParameters.isEmpty()) {
                continue;
            }
            pathKnown = true;
            if (endpoint.method().equals(method)) {
                return invoke(
                        endpoint,
                        new ApiRequest(principal, pathParameters.get(), query(request), body));
            }
        }
        return completedFuture(
                ApiResponse.problem(
                        pathKnown
                                ? Problem.methodNotAllowed(method, path)
                                : Problem.pathNotFound(path)));
    }

    private static CompletionStage<ApiResponse> invoke(Endpoint endpoint, ApiRequest apiRequest) {
        Principal principal = apiRequest.principal();
        if (!principal.role().includes(endpoint.requiredRole())) {
            String team = principal.team().value();
            return completedFuture(
                    ApiResponse.problem(
                            Problem.insufficientRole(
                                    team, principal.role(), endpoint.requiredRole())));
        }
        try {
            return endpoint.handler().handle(apiRequest);
        } catch (ApiRequest.InvalidBodyException | IllegalArgumentException e) {
            return completedFuture(ApiResponse.problem(Problem.invalidBody(e.getMessage())));
        }
    }

    private static Map<String, String> query(HttpRequest request) {
        return request.getUri().query().toList().stream()
                .collect(Collectors.toMap(Pair::first, Pair::second, (a, b) -> b));
    }

    private static ApiResponse internalError(Throwable error) {
        LOG.error("Administration API request failed: {0}.", error);
        return ApiResponse.problem(Problem.internalError());
    }
}
