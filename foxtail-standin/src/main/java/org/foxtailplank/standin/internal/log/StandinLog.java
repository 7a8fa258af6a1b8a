package org.foxtailplank.standin.internal.log;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.settings.PlatformSettings;
import org.foxtailplank.standin.internal.fault.Fault;
import org.foxtailplank.standin.internal.fault.FaultKind;
import org.foxtailplank.standin.internal.http.Json;
import org.foxtailplank.standin.internal.http.Reply;
import org.foxtailplank.standin.internal.http.Request;

/** The log's HTTP interface. */
public final class StandinLog {

    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_PAGE = 10_000;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;

    private final Map<String, LogStream> mStreams = new ConcurrentHashMap<>();
    private final Duration mRetention;
    private final int mAppendsPerSecond;
    private double mAllowance;
    private long mRefilledNs = System.nanoTime();

    /** An empty log. */
    public StandinLog(PlatformSettings settings) {
        mRetention = settings.retention();
        mAppendsPerSecond = settings.appendsPerSecond();
        mAllowance = mAppendsPerSecond;
    }

    /** Answers a call under {@code /v1/streams}. */
    public CompletionStage<Reply> handle(Request request) throws IOException {
        if (request.path().size() != 4) {
            return done(Reply.error(NOT_FOUND, "no such call: " + request.what()));
        }
        LogStream stream = stream(request.path().get(2));
        if (request.is("POST", 4)) {
            return done(append(stream, Json.read(request.body(), LogDocuments.Append.class)));
        }
        long from = request.number("from", 1);
        int limit = (int) Math.min(MAX_PAGE, request.number("limit", MAX_PAGE));
        long waitMs = Math.min(MAX_WAIT_MS, request.number("waitMs", 0));
        return read(stream, from, limit, waitMs);
    }

    /** Makes a stream lose records. */
    public void lose(Fault fault) {
        LogStream stream = stream(fault.stream().orElse("fleet"));
        long offset = fault.offset().orElse(1);
        if (fault.kind() == FaultKind.SHORTEN) {
            stream.shortenTo(offset);
        } else {
            stream.expireTo(offset);
        }
    }

    private LogStream stream(String name) {
        return mStreams.computeIfAbsent(name, n -> new LogStream(mRetention.toMillis()));
    }

    private Reply append(LogStream stream, LogDocuments.Append append) {
        if (!takeAppend()) {
            return Reply.error(UNAVAILABLE, "more than " + mAppendsPerSecond + " appends a second");
        }
        List<LogDocuments.Entry> records = append.records();
        long first = stream.append(records, System.currentTimeMillis());
        return Reply.json(OK, new LogDocuments.Appended(first, first + records.size()));
    }

    private synchronized boolean takeAppend() {
        long now = System.nanoTime();
        double refill = (now - mRefilledNs) * (double) mAppendsPerSecond / 1e9;
        mAllowance = Math.min(mAppendsPerSecond, mAllowance + refill);
        mRefilledNs = now;
        if (mAllowance < 1) {
            return false;
        }
        mAllowance--;
        return true;
    }

    private CompletionStage<Reply> read(LogStream stream, long from, int limit, long waitMs) {
        CompletableFuture<Void> grown = stream.grown();
        LogDocuments.Page page = stream.read(from, limit, System.currentTimeMillis());
        if (from < page.oldest()) {
            return done(Reply.json(GONE, page));
        }
        if (!page.records().isEmpty() || waitMs <= 0 || from > page.end()) {
            return done(Reply.json(OK, page));
        }
        return grown.copy()
                .completeOnTimeout(null, waitMs, TimeUnit.MILLISECONDS)
                .thenCompose(v -> read(stream, from, limit, 0));
    }

    private static CompletionStage<Reply> done(Reply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
