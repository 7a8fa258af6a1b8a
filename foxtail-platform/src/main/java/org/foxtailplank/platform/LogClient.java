package org.foxtailplank.platform;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.internal.log.AppendRateLimiter;
import org.foxtailplank.platform.PlatformException.Effect;
import org.foxtailplank.platform.internal.append.StreamAppender;
import org.foxtailplank.settings.Settings;

/**
 * A log that carries this node's appends through outages and lost answers.
 *
 * <p>It takes the place of the plain {@link PlatformLog} for all writers of a node: their appends
 * share calls and the node's part of the budget. An append completes once it is known to stand on
 * the log; it fails with {@link Effect#NONE} only when it never went out or was refused each time.
 */
public final class LogClient implements PlatformLog, AutoCloseable {

    private static final double BURST_SECONDS = 0.5;

    private final PlatformLog mLog;
    private final LogClientOptions mOptions;
    private final AppendRateLimiter mShare;
    private final Random mRandom;
    private final ScheduledExecutorService mOwner;
    private final Map<String, StreamAppender> mAppenders = new HashMap<>();

    private LogClient(PlatformLog log, LogClientOptions options) {
        mLog = log;
        mOptions = options;
        mShare =
                new AppendRateLimiter(
                        options.appendsPerSecond(),
                        options.nodes(),
                        BURST_SECONDS,
                        options.peerWord().toNanos(),
                        System.nanoTime());
        mRandom = new Random(options.seed());
        mOwner =
                Executors.newSingleThreadScheduledExecutor(
                        r -> {
                            Thread thread = new Thread(r, "log-client");
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** A client over the platform's own log. */
    public static LogClient over(PlatformLog log, LogClientOptions options) {
        return new LogClient(log, options);
    }

    /** A client for a node of a deployment. */
    public static LogClient of(PlatformLog log, Settings settings) {
        return over(log, LogClientOptions.of(settings, new SecureRandom().nextLong()));
    }

    @Override
    public CompletionStage<AppendResult> append(String stream, List<LogEntry> entries) {
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("an append needs at least one entry");
        }
        CompletableFuture<AppendResult> result = new CompletableFuture<>();
        mOwner.execute(() -> appender(stream).append(List.copyOf(entries), result));
        return result;
    }

    @Override
    public CompletionStage<ReadResult> read(String stream, long from, int limit, Duration wait) {
        return mLog.read(stream, from, limit, wait);
    }

    /** A peer says how many appends a second it does; it lends what it leaves of its part. */
    public void peerUses(NodeId peer, double perSecond) {
        mOwner.execute(() -> mShare.updatePeerRate(peer, perSecond, System.nanoTime()));
    }

    /** Appends a second that this node does, to be told to its peers. */
    public CompletionStage<Double> use() {
        return CompletableFuture.supplyAsync(() -> mShare.measuredRate(System.nanoTime()), mOwner);
    }

    /** Stops; whatever is not settled fails as unknown. */
    @Override
    public void close() {
        mOwner.execute(() -> mAppenders.values().forEach(StreamAppender::close));
        mOwner.shutdown();
    }

    private StreamAppender appender(String stream) {
        return mAppenders.computeIfAbsent(
                stream, s -> new StreamAppender(s, mLog, mOptions, mShare, mRandom, mOwner));
    }
}
