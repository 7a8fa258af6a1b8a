package org.foxtailplank.process;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.StreamTcpException;

/** HTTP client for JSON interfaces; every call completes within its timeout. */
public final class JsonHttpClient {
    /** Default maximum size of a response body, which bounds memory use. */
    public static final long DEFAULT_MAX_BODY = 16L << 20;

    private static final Duration MAX_CONNECTION_BACKOFF = Duration.ofMillis(500);

    private static final int MAX_CONNECTIONS = 16;

    /** Must be a power of two. */
    private static final int MAX_OPEN_REQUESTS = 256;

    private final ActorSystem<Void> mSystem;
    private final ConnectionPoolSettings mPoolSettings;
    private final Duration mTimeout;
    private final long mMaxBody;
    private final List<HttpHeader> mHeaders;

    private JsonHttpClient(
            ActorSystem<Void> system,
            ConnectionPoolSettings pool,
            Duration timeout,
            long maxBody,
            List<HttpHeader> headers) {
        mSystem = system;
        mPoolSettings = pool;
        mTimeout = timeout;
        mMaxBody = maxBody;
        mHeaders = List.copyOf(headers);
    }

    /** Creates a client whose calls complete within the timeout. */
    public static JsonHttpClient withTimeout(PekkoRuntime runtime, Duration timeout) {
        ActorSystem<Void> system = runtime.system();
        ClientConnectionSettings connection =
                ClientConnectionSettings.create(system.classicSystem())
                        .withConnectingTimeout(timeout)
                        .withIdleTimeout(timeout.multipliedBy(2));
        // Only the caller knows whether a call may be retried, so the pool never does.
        ConnectionPoolSettings pool =
                ConnectionPoolSettings.create(system.classicSystem())
                        // The default of two minutes would keep a restarted server unreachable.
                        .withMaxConnectionBackoff(MAX_CONNECTION_BACKOFF)
                        .withMaxRetries(0)
                        .withMaxConnections(MAX_CONNECTIONS)
                        .withMaxOpenRequests(MAX_OPEN_REQUESTS)
                        .withConnectionSettings(connection);
        return new JsonHttpClient(system, pool, timeout, DEFAULT_MAX_BODY, List.of());
    }

    /** Returns a client that also sends this header with each call. */
    public JsonHttpClient withHeader(String name, String value) {
        List<HttpHeader> headers = new ArrayList<>(mHeaders);
        headers.add(RawHeader.create(name, value));
        return new JsonHttpClient(mSystem, mPoolSettings, mTimeout, mMaxBody, headers);
    }

    /** Returns a client with another maximum size of response bodies. */
    public JsonHttpClient withMaxBody(long bytes) {
        return new JsonHttpClient(mSystem, mPoolSettings, mTimeout, bytes, mHeaders);
    }

    /** Sends a GET request. */
    public CompletionStage<HttpAnswer> get(URI uri) {
        return call(HttpMethods.GET, uri, "");
    }

    /** Sends a POST request with a value as its JSON body. */
    public CompletionStage<HttpAnswer> post(URI uri, Object body) {
        return call(HttpMethods.POST, uri, Json.write(body));
    }

    /** Sends a PUT request with a value as its JSON body. */
    public CompletionStage<HttpAnswer> put(URI uri, Object body) {
        return call(HttpMethods.PUT, uri, Json.write(body));
    }

    /** Sends a PATCH request with a value as its JSON body. */
    public CompletionStage<HttpAnswer> patch(URI uri, Object body) {
        return call(HttpMethods.PATCH, uri, Json.write(body));
    }

    /** Sends a DELETE request. */
    public CompletionStage<HttpAnswer> delete(URI uri) {
        return call(HttpMethods.DELETE, uri, "");
    }

    /** Blocks until a call completes. */
    public static HttpAnswer await(CompletionStage<HttpAnswer> call)
            throws HttpCallException, InterruptedException {
        try {
            return call.toCompletableFuture().get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HttpCallException failure) {
                throw failure;
            }
            throw new IllegalStateException("unexpected failure of an HTTP call", e);
        }
    }

    /** Sends a request; the stage fails with an {@link HttpCallException}. */
    private CompletionStage<HttpAnswer> call(HttpMethod method, URI uri, String body) {
        HttpRequest request =
                HttpRequest.create(uri.toString()).withMethod(method).addHeaders(mHeaders);
        if (!body.isEmpty()) {
            request = request.withEntity(ContentTypes.APPLICATION_JSON, body);
        }
        CompletableFuture<HttpAnswer> answer =
                Http.get(mSystem)
                        .singleRequest(
                                request,
                                Http.get(mSystem).defaultClientHttpsContext(),
                                mPoolSettings,
                                mSystem.classicSystem().log())
                        .thenCompose(response -> readBody(uri, response))
                        .toCompletableFuture();
        CompletableFuture<HttpAnswer> bounded =
                answer.copy().orTimeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        return bounded.exceptionallyCompose(
                e -> CompletableFuture.failedFuture(toException(uri, e)));
    }

    private CompletionStage<HttpAnswer> readBody(URI uri, HttpResponse response) {
        return response.entity()
                .withSizeLimit(mMaxBody)
                .toStrict(mTimeout.toMillis(), mSystem)
                .thenApply(
                        e ->
                                new HttpAnswer(
                                        uri,
                                        response.status().intValue(),
                                        e.getData().utf8String()));
    }

    private static HttpCallException toException(URI uri, Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return new HttpCallException(kindOf(cause), uri, cause);
    }

    private static HttpCallException.Kind kindOf(Throwable cause) {
        if (cause instanceof TimeoutException) {
            return HttpCallException.Kind.TIMEOUT;
        }
        if (cause instanceof StreamTcpException && cause.getMessage().contains("Connect")) {
            return HttpCallException.Kind.UNREACHABLE;
        }
        if (cause instanceof EntityStreamSizeException) {
            return HttpCallException.Kind.MALFORMED;
        }
        return HttpCallException.Kind.BROKEN;
    }
}
