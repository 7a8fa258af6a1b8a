package org.foxtailplank.controller.internal.admin;

import static java.util.concurrent.CompletableFuture.completedFuture;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.foxtailplank.controller.NodePages;
import org.foxtailplank.process.HealthRoutes;

/** Answers {@code /health} and {@code /metrics}, which need no token. */
public final class ProcessPages {

    private final NodePages mPages;
    private final AdminApi mApi;

    /** Pages of one process before the calls that need a token. */
    public ProcessPages(NodePages pages, AdminApi api) {
        mPages = pages;
        mApi = api;
    }

    /** Answers one call; the stage never fails. */
    public CompletionStage<HttpResponse> handle(HttpRequest request) {
        return switch (request.getUri().path()) {
            case "/health" -> completedFuture(HealthRoutes.health(mPages.health().get()));
            case "/metrics" -> completedFuture(HealthRoutes.metrics(mPages.metrics()));
            default -> mApi.handle(request);
        };
    }
}
