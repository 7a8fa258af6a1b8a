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
import org.foxtailplank.entry.internal.flow.Answers;
import org.foxtailplank.entry.internal.flow.RequestFlow;
import org.foxtailplank.entry.internal.metrics.RequestCounters;
import org.foxtailplank.platform.burn.BurnCounters;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;

/** The entry role of one process: takes callers' requests and sends them to backend servers. */
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

    /** Starts to listen on the callers' address of its node. */
    public static CompletionStage<EntryServer> start(
            ClassicActorSystemProvider system, EntryParts parts) {
        NodeSettings node = parts.settings().nodes().get(parts.node());
        RequestFlow flow = RequestFlow.start(system, parts, node.zone());
        RequestCounters counters = new RequestCounters(parts.metrics(), parts.inWave());
        EntryServer entry = new EntryServer(parts.settings(), flow, counters);
        CallerHandler handler = new CallerHandler(system, entry.view(), flow, counters);
        return CallerEndpoint.bind(system, node.callers(), entry.view(), handler)
                .thenApply(entry::listening);
    }

    /** Refuses every keyed request as {@code not-run}, for a process that can't protect keys. */
    public static KeyedRequests refusingKeys() {
        return (request, attempt) -> CompletableFuture.completedFuture(Answers.keysNotServed());
    }

    /** Runs a request for a peer; its key is protected by the one who asks for this. */
    public CompletionStage<Answer> attempt(CallerRequest request) {
        return mFlow.attempt(request);
    }

    /** Address on which callers are answered. */
    public InetSocketAddress address() {
        return mEndpoint.address();
    }

    /** How many requests of each service ended in which way. */
    public BurnCounters counters() {
        return mCounters;
    }

    /** Whether it was asked to leave. */
    public boolean leaving() {
        return mLeaving;
    }

    /** Takes over another configuration. */
    public void configure(Settings settings) {
        mSettings = settings;
        mFlow.configure(settings);
    }

    /**
     * Leaves without cutting anything off: fails its health answer, gives the balancer time to see
     * it, then answers what is in flight and closes. Completes when nothing is left.
     */
    public CompletionStage<Done> leave(Duration noticeTime) {
        mLeaving = true;
        CompletableFuture<Done> noticed =
                new CompletableFuture<Done>()
                        .completeOnTimeout(
                                Done.getInstance(), noticeTime.toNanos(), TimeUnit.NANOSECONDS);
        return noticed.thenCompose(done -> mEndpoint.leave()).thenApply(this::stopped);
    }

    private EntryState view() {
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

    private EntryServer listening(CallerEndpoint endpoint) {
        mEndpoint = endpoint;
        return this;
    }

    private Done stopped(Done done) {
        mFlow.stop();
        return done;
    }
}
