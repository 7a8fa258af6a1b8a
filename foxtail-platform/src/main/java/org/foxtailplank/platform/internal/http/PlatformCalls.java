package org.foxtailplank.platform.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.apache.pekko.stream.BufferOverflowException;
import org.apache.pekko.stream.StreamTcpException;
import org.foxtailplank.platform.PlatformException;
import org.foxtailplank.platform.PlatformException.Effect;

/** Calls over HTTP with a timeout, a bounded body, and a word on what a failed call did. */
public final class PlatformCalls {

    private static final long MAX_BODY_BYTES = 16L << 20;
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_WAITING = 128;
    private static final Duration CONNECTION_BACKOFF = Duration.ofMillis(10);
    private static final Duration MAX_CONNECTION_BACKOFF = Duration.ofMillis(200);
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Longest timeout of a read, as a multiple of the configured timeout. */
    private static final int MAX_READ_TIMEOUT_FACTOR = 8;

    private final URI mAddress;
    private final Duration mTimeout;
    private final ActorSystem mSystem;
    private final ConnectionPoolSettings mPool;
    private final ObjectMapper mJson;
    private final AtomicInteger mReadTimeoutFactor = new AtomicInteger(1);

    /** Calls to one address. */
    public PlatformCalls(URI address, Duration timeout, ClassicActorSystemProvider system) {
        mAddress = address;
        mTimeout = timeout;
        mSystem = system.classicSystem();
        mPool = pool(timeout);
        mJson =
                new ObjectMapper()
                        .registerModule(new Jdk8Module())
                        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    private ConnectionPoolSettings pool(Duration timeout) {
        ClientConnectionSettings connection =
                ClientConnectionSettings.create(mSystem).withConnectingTimeout(timeout);
        // The pool never repeats a call by itself: a repeated append would stand on the log twice.
        return ConnectionPoolSettings.create(mSystem)
                .withMaxRetries(0)
                .withMaxConnections(MAX_CONNECTIONS)
                .withMaxOpenRequests(MAX_WAITING)
                .withBaseConnectionBackoff(CONNECTION_BACKOFF)
                .withMaxConnectionBackoff(MAX_CONNECTION_BACKOFF)
                .withConnectionSettings(connection);
    }

    /**
     * Gets a document; statuses given as expected are answers like any other.
     *
     * <p>The timeout doubles with each read that times out, up to a bound, and is the configured
     * one again after an answer. With a fixed timeout, a process that gets little processor time
     * would never load its state.
     */
    CompletionStage<Answer> get(String path, Duration extraWait, Set<Integer> expected) {
        Duration timeout = mTimeout.multipliedBy(mReadTimeoutFactor.get()).plus(extraWait);
        return send(HttpRequest.GET(mAddress + path), timeout, expected)
                .whenComplete((answer, error) -> adaptReadTimeout(error));
    }

    private void adaptReadTimeout(Throwable error) {
        if (error == null) {
            mReadTimeoutFactor.set(1);
        } else if (unwrapped(error).getCause() instanceof TimeoutException) {
            mReadTimeoutFactor.updateAndGet(f -> Math.min(MAX_READ_TIMEOUT_FACTOR, 2 * f));
        }
    }

    /** Posts a document; statuses given as expected are answers like any other. */
    CompletionStage<Answer> post(String path, Object document, Set<Integer> expected) {
        byte[] body;
        try {
            body = mJson.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a document of ours can't be written as JSON", e);
        }
        HttpRequest request =
                HttpRequest.POST(mAddress + path).withEntity(ContentTypes.APPLICATION_JSON, body);
        return send(request, mTimeout, expected);
    }

    private CompletionStage<Answer> send(
            HttpRequest request, Duration timeout, Set<Integer> expected) {
        return Http.get(mSystem)
                .singleRequest(
                        request,
                        Http.get(mSystem).defaultClientHttpsContext(),
                        mPool,
                        mSystem.log())
                .thenCompose(r -> whole(r, timeout))
                .thenApply(a -> checked(request, a, expected))
                .toCompletableFuture()
                .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionallyCompose(
                        e -> CompletableFuture.failedFuture(failure(request, unwrapped(e))));
    }

    private CompletionStage<Answer> whole(HttpResponse response, Duration timeout) {
        return response.entity()
                .toStrict(timeout.toMillis(), MAX_BODY_BYTES, mSystem)
                .thenApply(HttpEntity.Strict::getData)
                .thenApply(d -> new Answer(response.status().intValue(), d.toArray(), mJson));
    }

    private static Answer checked(HttpRequest request, Answer answer, Set<Integer> expected) {
        int status = answer.status();
        if (status < 300 || expected.contains(status)) {
            return answer;
        }
        boolean refused = status < 500 || status == SERVICE_UNAVAILABLE;
        Effect effect = refused ? Effect.NONE : Effect.UNKNOWN;
        throw new CompletionException(
                new PlatformException(
                        what(request)
                                + " was answered with status "
                                + status
                                + ": "
                                + answer.text(),
                        effect));
    }

    private static PlatformException failure(HttpRequest request, Throwable cause) {
        if (cause instanceof PlatformException e) {
            return e;
        }
        // Only where no connection came about is it certain that no byte of the call was sent. A
        // timeout says nothing: the call may still wait in the pool and go out later.
        boolean unsent =
                cause instanceof BufferOverflowException
                        || cause instanceof StreamTcpException
                                && cause.getMessage().startsWith("Tcp command [Connect");
        Effect effect = unsent ? Effect.NONE : Effect.UNKNOWN;
        return new PlatformException(what(request) + " got no answer: " + cause, effect, cause);
    }

    private static String what(HttpRequest request) {
        return request.method().value() + " " + request.getUri().path();
    }

    private static Throwable unwrapped(Throwable e) {
        return e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
    }

    /** A whole answer. */
    record Answer(int status, byte[] body, ObjectMapper json) {

        /** Reads the body as a document and turns that into what the caller wants. */
        <D, T> T read(Class<D> type, Function<D, T> reader) {
            try {
                return reader.apply(json.readValue(body, type));
            } catch (IOException | IllegalArgumentException | NullPointerException e) {
                // A document that lacks something or holds an unknown word is the platform's fault,
                // not a broken invariant of ours.
                throw new CompletionException(
                        new PlatformException(
                                "the platform's answer can't be read: " + e.getMessage(),
                                Effect.UNKNOWN,
                                e));
            }
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }
}
