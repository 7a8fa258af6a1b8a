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

/** One entry with a live list that tests set. */
final class EntryFixture implements AutoCloseable {

    private final ActorSystem mSystem = ActorSystem.create("entry-test");
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final EntryServer mEntry;
    private volatile List<BackendServer> mLive;

    EntryFixture(Settings settings, BackendServer... live) {
        mLive = List.of(live);
        mEntry =
                EntryServer.start(mSystem, EntryParts.of(TestSettings.NODE, settings, () -> mLive))
                        .toCompletableFuture()
                        .join();
    }

    /** An entry with standard settings that has connected to a backend server at least once. */
    static EntryFixture probing(RawBackend backend, BackendServer... live) {
        EntryFixture f = new EntryFixture(TestSettings.standard(), live);
        await(() -> backend.accepted() > 0);
        return f;
    }

    EntryServer entry() {
        return mEntry;
    }

    void live(BackendServer... live) {
        mLive = List.of(live);
    }

    /** Posts to the service with the given headers, as name, value, name, value. */
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

    /** Waits for a condition; the limit only ends a test that would hang. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not come true");
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
