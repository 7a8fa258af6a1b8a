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

/** Calls HTTP interfaces that speak JSON; every call ends within its timeout. */
public final class JsonHttpClient {
    /** A body larger than this is refused, so that no callee can fill the memory. */
    public static final long DEFAULT_MAX_BODY = 16L << 20;

    private static final Duration MAX_CONNECTION_BACKOFF = Duration.ofMillis(500);

    private static final int MAX_CONNECTIONS = 16;

    /** A power of two, as the pool wants it. */
    private static final int MAX_OPEN_REQUESTS = 256;

    private final ActorSystem<Void> mSystem;
    private final ConnectionPoolSettings mPool;
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
        mPool = pool;
        mTimeout = timeout;
        mMaxBody = maxBody;
        mHeaders = List.copyOf(headers);
    }

    /** A client whose calls end after this time, answered or not. */
    public static JsonHttpClient withTimeout(PekkoRuntime runtime, Duration timeout) {
        ActorSystem<Void> system = runtime.system();
        ClientConnectionSettings connection =
                ClientConnectionSettings.create(system.classicSystem())
                        .withConnectingTimeout(timeout)
                        .withIdleTimeout(timeout.multipliedBy(2));
        // A call is never retried here: whether it may be repeated is for whoever calls to decide.
        ConnectionPoolSettings pool =
                ConnectionPoolSettings.create(system.classicSystem())
                        // Two minutes by default: a server that was away for a moment would stay
                        // unreachable for as long.
                        .withMaxConnectionBackoff(MAX_CONNECTION_BACKOFF)
                        .withMaxRetries(0)
                        .withMaxConnections(MAX_CONNECTIONS)
                        .withMaxOpenRequests(MAX_OPEN_REQUESTS)
                        .withConnectionSettings(connection);
        return new JsonHttpClient(system, pool, timeout, DEFAULT_MAX_BODY, List.of());
    }

    /** The same client, with a header on each call. */
    public JsonHttpClient withHeader(String name, String value) {
        List<HttpHeader> headers = new ArrayList<>(mHeaders);
        headers.add(RawHeader.create(name, value));
        return new JsonHttpClient(mSystem, mPool, mTimeout, mMaxBody, headers);
    }

    /** The same client, with another bound on the bodies of answers. */
    public JsonHttpClient withMaxBody(long bytes) {
        return new JsonHttpClient(mSystem, mPool, mTimeout, bytes, mHeaders);
    }

    /** Calls GET. */
    public CompletionStage<HttpAnswer> get(URI uri) {
        return call(HttpMethods.GET, uri, "");
    }

    /** Calls POST with a value as its JSON body. */
    public CompletionStage<HttpAnswer> post(URI uri, Object body) {
        return call(HttpMethods.POST, uri, Json.write(body));
    }

    /** Calls PUT with a value as its JSON body. */
    public CompletionStage<HttpAnswer> put(URI uri, Object body) {
        return call(HttpMethods.PUT, uri, Json.write(body));
    }

    /** Calls PATCH with a value as its JSON body. */
    public CompletionStage<HttpAnswer> patch(URI uri, Object body) {
        return call(HttpMethods.PATCH, uri, Json.write(body));
    }

    /** Calls DELETE. */
    public CompletionStage<HttpAnswer> delete(URI uri) {
        return call(HttpMethods.DELETE, uri, "");
    }

    /** Waits for a call's answer. */
    public static HttpAnswer await(CompletionStage<HttpAnswer> call)
            throws HttpCallException, InterruptedException {
        try {
            return call.toCompletableFuture().get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HttpCallException failure) {
                throw failure;
            }
            throw new IllegalStateException("a call failed in an unknown way", e);
        }
    }

    /** The answer, or an {@link HttpCallException} as the stage's error. */
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
                                mPool,
                                mSystem.classicSystem().log())
                        .thenCompose(response -> whole(uri, response))
                        .toCompletableFuture();
        CompletableFuture<HttpAnswer> inTime =
                answer.copy().orTimeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        return inTime.exceptionallyCompose(e -> CompletableFuture.failedFuture(failure(uri, e)));
    }

    private CompletionStage<HttpAnswer> whole(URI uri, HttpResponse response) {
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

    private static HttpCallException failure(URI uri, Throwable error) {
        Throwable cause = error instanceof CompletionException ? error.getCause() : error;
        return new HttpCallException(kind(cause), uri, cause);
    }

    private static HttpCallException.Kind kind(Throwable cause) {
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
