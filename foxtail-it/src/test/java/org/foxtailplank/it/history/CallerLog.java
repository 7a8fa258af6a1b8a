package org.foxtailplank.it.history;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailplank.request.Outcome;
import org.foxtailplank.standin.EchoedAnswer;
import org.foxtailplank.standin.Execution;

/** Callers that send requests over HTTP and record what they see. */
final class CallerLog {

    private static final String ID = "Foxtail-Request-Id";
    private static final Duration TIMEOUT = Duration.ofSeconds(8);

    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final History mHistory = new History();
    private final AtomicLong mNext = new AtomicLong(1);
    private final Map<String, String> mOwnIds = new HashMap<>();
    private final Map<String, Deque<String>> mBroken = new HashMap<>();

    /** What a caller got: an outcome, a status, and the id of the request that was run for it. */
    record Result(Outcome outcome, int status, Optional<String> answers, String text) {}

    /** Posts a request, keyed unless its key is empty; a broken connection counts as unknown. */
    CompletableFuture<Result> post(URI entry, String key, String body, Duration deadline) {
        String own = "q" + mNext.getAndIncrement();
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String sum = EchoedAnswer.checksum(bytes);
        Optional<String> named = Optional.of(key).filter(k -> !k.isEmpty());
        mHistory.add(new HistoryEvent.Sent(own, named, false, entry.toString(), sum));
        HttpRequest.Builder request =
                HttpRequest.newBuilder(entry.resolve("/s/claims/settle"))
                        .timeout(TIMEOUT)
                        .header("Foxtail-Repeatable", "no")
                        .header("Foxtail-Deadline", deadline.toMillis() + "ms")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(bytes));
        named.ifPresent(k -> request.header("Idempotency-Key", k));
        return mClient.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .handle((r, e) -> r == null ? broken(own, key) : answered(own, r));
    }

    /** Asks an entry for an issued key. */
    String issuedKey(URI entry) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(entry.resolve("/keys"))
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build();
        String body = mClient.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return body.substring(body.indexOf(':') + 2, body.lastIndexOf('"'));
    }

    /** Sends a body to a stand-in's control address. */
    void control(URI address, String method, String body) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(address)
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        HttpResponse<String> r = mClient.send(request, HttpResponse.BodyHandlers.ofString());
        if (r.statusCode() >= 300) {
            throw new IOException(method + " " + address + " answers " + r.body());
        }
    }

    /** The history with what the backend servers ran, under the callers' own ids. */
    synchronized History withExecutions(Map<String, List<Execution>> executions) {
        // Executions first: they tell whose ids those are that no caller has learned.
        List<HistoryEvent> runs = new ArrayList<>();
        executions.forEach(
                (instance, list) ->
                        list.forEach(
                                e ->
                                        runs.add(
                                                new HistoryEvent.Executed(
                                                        own(e), instance, e.checksum()))));
        History whole = new History();
        for (HistoryEvent event : mHistory.events()) {
            whole.add(event instanceof HistoryEvent.Answered a ? translated(a) : event);
        }
        runs.forEach(whole::add);
        return whole;
    }

    private HistoryEvent translated(HistoryEvent.Answered a) {
        Optional<String> answers = a.answers().map(id -> mOwnIds.getOrDefault(id, id));
        return new HistoryEvent.Answered(a.request(), a.outcome(), answers, a.checksum());
    }

    /** Callers whose connections broke never learn an id; the key tells whose run it was. */
    private String own(Execution e) {
        Deque<String> broken = mBroken.getOrDefault(e.key(), new ArrayDeque<>());
        if (!mOwnIds.containsKey(e.requestId()) && !broken.isEmpty()) {
            mOwnIds.put(e.requestId(), broken.poll());
        }
        return mOwnIds.getOrDefault(e.requestId(), e.requestId());
    }

    private synchronized Result broken(String own, String key) {
        mBroken.computeIfAbsent(key, k -> new ArrayDeque<>()).add(own);
        mHistory.add(new HistoryEvent.Answered(own, Outcome.UNKNOWN, Optional.empty(), ""));
        return new Result(Outcome.UNKNOWN, 0, Optional.empty(), "");
    }

    private synchronized Result answered(String own, HttpResponse<byte[]> r) {
        mOwnIds.put(r.headers().firstValue(ID).orElse(own), own);
        Outcome outcome =
                Outcome.parse(r.headers().firstValue(Outcome.HEADER).orElse(""))
                        .orElse(Outcome.UNKNOWN);
        Optional<EchoedAnswer> echo = EchoedAnswer.parse(r.body());
        Optional<String> answers = echo.map(EchoedAnswer::requestId);
        String sum = echo.map(a -> EchoedAnswer.checksum(a.body())).orElse("");
        mHistory.add(new HistoryEvent.Answered(own, outcome, answers, sum));
        String text = new String(r.body(), StandardCharsets.UTF_8);
        return new Result(outcome, r.statusCode(), answers, text);
    }
}
