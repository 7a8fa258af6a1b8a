package org.foxtailplank.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.pekko.actor.ActorSystem;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.settings.Settings;

/** An entry with a list of live servers set by the test. */
final class EntryFixture implements AutoCloseable {

    private final ActorSystem mSystem = ActorSystem.create("entry-test");
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final EntryServer mEntry;
    private volatile List<BackendServer> mLive;

    EntryFixture(Settings settings, BackendServer... live) {
        mLive = List.of(live);
        mEntry =
                EntryServer.start(
                                mSystem, EntryContext.of(TestSettings.NODE, settings, () -> mLive))
                        .toCompletableFuture()
                        .join();
    }

    /** Starts an entry with standard settings and waits until it has connected to the backend. */
    static EntryFixture connectedTo(RawBackend backend, BackendServer... live) {
        EntryFixture f = new EntryFixture(TestSettings.standard(), live);
        await(() -> backend.acceptedConnections() > 0);
        return f;
    }

    EntryServer entry() {
        return mEntry;
    }

    void setLiveServers(BackendServer... live) {
        mLive = List.of(live);
    }

    /** Posts to the service; headers alternate between name and value. */
    HttpResponse<String> post(String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder b =
                HttpRequest.newBuilder(uri("/s/" + TestSettings.SERVICE + "/assess"))
                        .timeout(Duration.ofSeconds(30))
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            b.headers(headers);
        }
        return mClient.send(b.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return mClient.send(
                HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString());
    }

    URI uri(String path) {
        return URI.create("http://127.0.0.1:" + mEntry.address().getPort() + path);
    }

    static Outcome outcome(HttpResponse<?> r) {
        return Outcome.parse(r.headers().firstValue(Outcome.HEADER).orElseThrow()).orElseThrow();
    }

    /** Waits for a condition, with a time limit to fail instead of hanging. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition was not met within 30 s");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        mSystem.terminate();
        mSystem.getWhenTerminated().toCompletableFuture().join();
    }
}
