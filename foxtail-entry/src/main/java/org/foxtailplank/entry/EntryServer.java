package org.foxtailplank.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.Done;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.entry.internal.caller.CallerEndpoint;
import org.foxtailplank.entry.internal.caller.CallerHandler;
import org.foxtailplank.entry.internal.caller.EntryState;
import org.foxtailplank.entry.internal.flow.EntryAnswers;
import org.foxtailplank.entry.internal.flow.RequestFlow;
import org.foxtailplank.entry.internal.metrics.RequestCounters;
import org.foxtailplank.platform.burn.BurnCounters;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;

/** The entry role of a process: accepts callers' requests and sends them to backend servers. */
public final class EntryServer {

    private final RequestFlow mFlow;
    private final RequestCounters mCounters;
    private volatile Settings mSettings;
    private volatile boolean mLeaving;
    private CallerEndpoint mEndpoint;

    private EntryServer(Settings settings, RequestFlow flow, RequestCounters counters) {
        mSettings = settings;
        mFlow = flow;
        mCounters = counters;
    }

    /** Starts an entry that listens on its node's address for callers. */
    public static CompletionStage<EntryServer> start(
            ClassicActorSystemProvider system, EntryContext context) {
        NodeSettings node = context.settings().nodes().get(context.node());
        RequestFlow flow = RequestFlow.start(system, context, node.zone());
        RequestCounters counters = new RequestCounters(context.metrics(), context.inWave());
        EntryServer entry = new EntryServer(context.settings(), flow, counters);
        CallerHandler handler = new CallerHandler(system, entry.state(), flow, counters);
        return CallerEndpoint.bind(system, node.callers(), entry.state(), handler)
                .thenApply(entry::bound);
    }

    /** Returns a handler that refuses keyed requests as {@code not-run}. */
    public static KeyedRequestHandler refusingKeys() {
        return (request, attempt) ->
                CompletableFuture.completedFuture(EntryAnswers.keysUnavailable());
    }

    /** Runs a request for a peer; the caller of this method protects its key. */
    public CompletionStage<Answer> attempt(CallerRequest request) {
        return mFlow.attempt(request);
    }

    /** Returns the address for callers. */
    public InetSocketAddress address() {
        return mEndpoint.address();
    }

    /** Returns the counts of request results by service. */
    public BurnCounters counters() {
        return mCounters;
    }

    /** Whether the entry was asked to leave. */
    public boolean leaving() {
        return mLeaving;
    }

    /** Applies a new configuration. */
    public void configure(Settings settings) {
        mSettings = settings;
        mFlow.configure(settings);
    }

    /**
     * Shuts down gracefully: fails health checks, gives the load balancer time to notice, then
     * answers the requests in flight and closes all connections. Completes when all are closed.
     */
    public CompletionStage<Done> leave(Duration noticeTime) {
        mLeaving = true;
        CompletableFuture<Done> noticed =
                new CompletableFuture<Done>()
                        .completeOnTimeout(
                                Done.getInstance(), noticeTime.toNanos(), TimeUnit.NANOSECONDS);
        return noticed.thenCompose(done -> mEndpoint.leave()).thenApply(this::stopped);
    }

    private EntryState state() {
        return new EntryState() {
            @Override
            public Settings settings() {
                return mSettings;
            }

            @Override
            public boolean leaving() {
                return mLeaving;
            }
        };
    }

    private EntryServer bound(CallerEndpoint endpoint) {
        mEndpoint = endpoint;
        return this;
    }

    private Done stopped(Done done) {
        mFlow.stop();
        return done;
    }
}
