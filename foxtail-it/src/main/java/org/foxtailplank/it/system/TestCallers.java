package org.foxtailplank.it.system;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.foxtailplank.it.history.History;
import org.foxtailplank.it.history.HistoryEvent;
import org.foxtailplank.it.process.Await;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.standin.EchoedAnswer;

/**
 * Callers that ask for something at a steady rate: a repeatable {@code survey} request, which they
 * send again to the next entry when it fails, and a {@code claims} request, which they send once.
 */
public final class TestCallers implements AutoCloseable {

    private static final long INTERVAL_MS = 20;
    private static final int TRIES = 6;
    private static final long PAUSE_MS = 250;
    private static final long TIMEOUT_MS = 4000;
    private static final long BODY_BYTES = 1 << 20;
    private static final int CONNECTIONS = 128;
    private static final int WAITING = 4096;
    private static final Duration MAX_BACKOFF = Duration.ofMillis(200);

    private static final AtomicInteger STARTED = new AtomicInteger();

    private final String mName = "callers" + STARTED.incrementAndGet();
    private final TestSystem mSystem;
    private final List<InetSocketAddress> mEntries;
    private final History mHistory;
    private final ConnectionPoolSettings mPool;
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final AtomicLong mNumber = new AtomicLong();
    private final AtomicInteger mOpen = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private final AtomicInteger mLost = new AtomicInteger();

    private TestCallers(TestSystem system, List<InetSocketAddress> entries) {
        mSystem = system;
        mEntries = entries;
        mHistory = system.history();
        mPool =
                ConnectionPoolSettings.create(system.runtime().system().classicSystem())
                        .withMaxRetries(0)
                        .withMaxConnections(CONNECTIONS)
                        .withMaxOpenRequests(WAITING)
                        .withMaxConnectionBackoff(MAX_BACKOFF);
    }

    /** Callers that turn to the entries of these zones one after the other. */
    public static TestCallers start(TestSystem system, List<String> zones) {
        TestCallers callers = new TestCallers(system, zones.stream().map(system::callers).toList());
        callers.mTimer.scheduleAtFixedRate(callers::tick, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
        return callers;
    }

    /** Repeatable requests that got their answer. */
    public int served() {
        return mServed.get();
    }

    /** Repeatable requests that got none, however often they were sent again. */
    public int lost() {
        return mLost.get();
    }

    /** Sends no more, and waits for the answers that are out. */
    @Override
    public void close() {
        mTimer.shutdown();
        Await.until("all answers", () -> mOpen.get() == 0);
    }

    private void tick() {
        long number = mNumber.incrementAndGet();
        mOpen.addAndGet(2);
        survey(number, 1);
        once("claims", mName + "-c" + number, false, entry(number))
                .whenComplete((o, e) -> mOpen.decrementAndGet());
    }

    private void survey(long number, int attempt) {
        once("survey", mName + "-s" + number + "-" + attempt, true, entry(number + attempt))
                .thenAccept(
                        outcome -> {
                            if (outcome == Outcome.OK) {
                                mServed.incrementAndGet();
                                mOpen.decrementAndGet();
                            } else if (attempt == TRIES) {
                                mLost.incrementAndGet();
                                mOpen.decrementAndGet();
                            } else {
                                CompletableFuture.delayedExecutor(PAUSE_MS, TimeUnit.MILLISECONDS)
                                        .execute(() -> survey(number, attempt + 1));
                            }
                        });
    }

    private InetSocketAddress entry(long number) {
        return mEntries.get((int) (number % mEntries.size()));
    }

    /** Sends a request once and records what comes of it. */
    private CompletionStage<Outcome> once(
            String service, String id, boolean repeatable, InetSocketAddress entry) {
        byte[] body = id.getBytes(StandardCharsets.UTF_8);
        mHistory.add(
                new HistoryEvent.Sent(
                        id,
                        Optional.empty(),
                        repeatable,
                        SmallSite.text(entry),
                        EchoedAnswer.checksum(body)));
        HttpRequest request =
                HttpRequest.POST("http://" + SmallSite.text(entry) + "/s/" + service + "/" + id)
                        .addHeader(
                                RawHeader.create("Foxtail-Repeatable", repeatable ? "yes" : "no"))
                        .withEntity(body);
        return Http.get(mSystem.runtime().system())
                .singleRequest(
                        request,
                        Http.get(mSystem.runtime().system()).defaultClientHttpsContext(),
                        mPool,
                        mSystem.runtime().system().classicSystem().log())
                .thenCompose(r -> answered(id, r))
                .toCompletableFuture()
                .orTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
                .exceptionally(
                        e -> new HistoryEvent.Answered(id, Outcome.UNKNOWN, Optional.empty(), ""))
                .thenApply(
                        a -> {
                            mHistory.add(a);
                            return a.outcome();
                        });
    }

    private CompletionStage<HistoryEvent.Answered> answered(String id, HttpResponse response) {
        Outcome outcome =
                response.getHeader(Outcome.HEADER)
                        .map(HttpHeader::value)
                        .flatMap(Outcome::parse)
                        .orElse(Outcome.UNKNOWN);
        return response.entity()
                .toStrict(TIMEOUT_MS, BODY_BYTES, mSystem.runtime().system())
                .thenApply(s -> EchoedAnswer.parse(s.getData().toArray()))
                .thenApply(
                        echoed ->
                                new HistoryEvent.Answered(
                                        id,
                                        outcome,
                                        echoed.map(
                                                a -> new String(a.body(), StandardCharsets.UTF_8)),
                                        echoed.map(a -> EchoedAnswer.checksum(a.body()))
                                                .orElse("")));
    }
}
