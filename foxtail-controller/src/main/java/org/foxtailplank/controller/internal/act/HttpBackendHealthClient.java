package org.foxtailplank.controller.internal.act;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.foxtailplank.internal.control.BackendReport;

/** Fetches health reports with {@code GET /health}. */
public final class HttpBackendHealthClient implements BackendHealthClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_RESPONSE_BYTES = 4096;

    private final ClassicActorSystemProvider mSystem;
    private final Duration mTimeout;

    /** Creates a client whose requests time out. */
    public HttpBackendHealthClient(ClassicActorSystemProvider system, Duration timeout) {
        mSystem = system;
        mTimeout = timeout;
    }

    @Override
    public CompletionStage<Optional<BackendReport>> fetch(InetSocketAddress address) {
        String uri = "http://" + address.getHostString() + ":" + address.getPort() + "/health";
        return Http.get(mSystem)
                .singleRequest(HttpRequest.GET(uri))
                .thenCompose(this::read)
                .toCompletableFuture()
                .orTimeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(e -> Optional.empty());
    }

    private CompletionStage<Optional<BackendReport>> read(HttpResponse response) {
        return response.entity()
                .withSizeLimit(MAX_RESPONSE_BYTES)
                .toStrict(mTimeout.toMillis(), mSystem)
                .thenApply(body -> parse(body.getData().utf8String()));
    }

    private static Optional<BackendReport> parse(String text) {
        try {
            JsonNode json = JSON.readTree(text);
            if (!json.path("inFlight").isIntegralNumber()) {
                return Optional.empty();
            }
            boolean leaving = "leaving".equals(json.path("state").asText());
            return Optional.of(new BackendReport(leaving, json.path("inFlight").asInt()));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
