package org.foxtailplank.entry.internal.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.foxtailplank.entry.Header;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.request.Outcome;

/**
 * A connection to an instance, for one request at a time.
 *
 * <p>An answer always belongs to the only request in flight. After a missing or incomplete answer
 * the connection is closed, so that a late answer can't be taken for that of another request.
 */
final class BackendConnection {

    private static final int SERVICE_UNAVAILABLE = 503;

    private final ClassicActorSystemProvider mSystem;
    private final long mMaxBodyBytes;
    private final CompletableFuture<Done> mClosed = new CompletableFuture<>();
    private BoundedSourceQueue<HttpRequest> mQueue;
    private UniqueKillSwitch mSwitch;
    private volatile CompletableFuture<HttpResponse> mAnswer = new CompletableFuture<>();
    private volatile boolean mReusable = true;
    private volatile Optional<Duration> mKeepAlive = Optional.empty();

    private BackendConnection(ClassicActorSystemProvider system, long maxBodyBytes) {
        mSystem = system;
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Connects; completes exceptionally if the connection can't be established. */
    static CompletionStage<BackendConnection> open(
            ClassicActorSystemProvider system, BackendServer server, ConnectionLimits limits) {
        BackendConnection connection = new BackendConnection(system, limits.maxBodyBytes());
        var settings =
                ClientConnectionSettings.create(system.classicSystem())
                        .withConnectingTimeout(
                                scala.concurrent.duration.Duration.create(
                                        limits.connectTimeout().toNanos(), TimeUnit.NANOSECONDS));
        var flow =
                Http.get(system)
                        .connectionTo(server.address().getAddress().getHostAddress())
                        .toPort(server.address().getPort())
                        .withClientConnectionSettings(settings)
                        .http();
        var run =
                Source.<HttpRequest>queue(1)
                        .viaMat(KillSwitches.single(), Keep.both())
                        .viaMat(flow, Keep.both())
                        .toMat(Sink.foreach(connection::onAnswer), Keep.both())
                        .run(Materializer.matFromSystem(system));
        connection.mQueue = run.first().first().first();
        connection.mSwitch = run.first().first().second();
        run.second().whenComplete((done, e) -> connection.onClosed(e));
        return run.first().second().thenApply(connected -> connection);
    }

    /** Completes when either side has closed the connection. */
    CompletionStage<Done> closed() {
        return mClosed;
    }

    /** Whether another request may be sent. */
    boolean reusable() {
        return mReusable && !mClosed.isDone();
    }

    /** Returns the idle timeout announced by the instance. */
    Optional<Duration> keepAlive() {
        return mKeepAlive;
    }

    /** Closes the connection at once; the outcome of a request in flight becomes unknown. */
    void close() {
        mReusable = false;
        mSwitch.abort(new ConnectionClosedException("closed by the entry"));
    }

    /** Sends a request; completes with its result, never exceptionally. */
    CompletionStage<AttemptResult> send(HttpRequest request, Duration timeout) {
        CompletableFuture<HttpResponse> answer = mAnswer;
        if (!reusable() || mQueue.offer(request) != QueueOfferResult.enqueued()) {
            mReusable = false;
            return CompletableFuture.completedFuture(
                    new AttemptResult.NotSent(
                            "the connection was closed before it was used", false));
        }
        return answer.thenCompose(response -> read(response, timeout))
                .toCompletableFuture()
                .orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS)
                .exceptionally(this::lost);
    }

    private CompletionStage<AttemptResult> read(HttpResponse response, Duration timeout) {
        // A body is complete only with a content length or a last chunk. If it is delimited by the
        // close of the connection, truncation can't be detected, so it is rejected.
        if (response.entity() instanceof HttpEntity.CloseDelimited) {
            return CompletableFuture.failedStage(
                    new ConnectionClosedException("the answer's end can't be told from a cut"));
        }
        noteKeepAlive(response);
        return response.entity()
                .toStrict(timeout.toMillis() + 1, mMaxBodyBytes, mSystem)
                .thenApply(body -> answered(response, body));
    }

    private AttemptResult answered(HttpResponse response, HttpEntity.Strict body) {
        mAnswer = new CompletableFuture<>();
        int status = response.status().intValue();
        boolean declined =
                status == SERVICE_UNAVAILABLE
                        && response.getHeader(Outcome.HEADER)
                                .filter(h -> h.value().equals(Outcome.NOT_RUN.text()))
                                .isPresent();
        if (declined) {
            return new AttemptResult.Declined();
        }
        List<Header> headers = new ArrayList<>();
        response.getHeaders().forEach(h -> headers.add(new Header(h.name(), h.value())));
        return new AttemptResult.Answered(
                status, body.getContentType().toString(), headers, body.getData().toArray());
    }

    private void noteKeepAlive(HttpResponse response) {
        boolean closes =
                response.getHeader("Connection")
                        .filter(h -> h.value().equalsIgnoreCase("close"))
                        .isPresent();
        if (closes) {
            mReusable = false;
        }
        mKeepAlive = response.getHeader("Keep-Alive").flatMap(h -> KeepAlive.timeout(h.value()));
    }

    private AttemptResult lost(Throwable e) {
        close();
        Throwable cause =
                e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
        boolean timedOut = cause instanceof TimeoutException;
        String why = timedOut ? "no answer in time" : String.valueOf(cause.getMessage());
        return new AttemptResult.Lost(why, timedOut);
    }

    private void onAnswer(HttpResponse response) {
        if (!mAnswer.complete(response)) {
            // An unexpected answer: a second one, or one without a request.
            response.discardEntityBytes(mSystem);
            close();
        }
    }

    private void onClosed(Throwable e) {
        mReusable = false;
        mClosed.complete(Done.getInstance());
        Throwable cause = e == null ? new ConnectionClosedException("closed by the peer") : e;
        mAnswer.completeExceptionally(cause);
    }
}
