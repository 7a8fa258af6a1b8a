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
import org.foxtailplank.entry.internal.flow.Answers;
import org.foxtailplank.entry.internal.flow.RequestFlow;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;

/** The entry role of one process: takes callers' requests and sends them to backend servers. */
public final class EntryServer {

    private final RequestFlow mFlow;
    private volatile Settings mSettings;
    private volatile boolean mLeaving;
    private CallerEndpoint mEndpoint;

    private EntryServer(Settings settings, RequestFlow flow) {
        mSettings = settings;
        mFlow = flow;
    }

    /**
     * Starts to listen on the callers' address of a node.
     *
     * @param system runs it
     * @param node the node, which the settings name
     * @param settings the configuration in force
     * @param directory knows the backend servers
     * @param keyed protects idempotency keys
     */
    public static CompletionStage<EntryServer> start(
            ClassicActorSystemProvider system,
            NodeId node,
            Settings settings,
            Directory directory,
            KeyedRequests keyed) {
        NodeSettings n = settings.nodes().get(node);
        RequestFlow flow =
                RequestFlow.start(system, node.toString(), directory, keyed, n.zone(), settings);
        EntryServer entry = new EntryServer(settings, flow);
        CallerHandler handler =
                new CallerHandler(system, () -> entry.mSettings, flow, () -> entry.mLeaving);
        return CallerEndpoint.bind(system, n.callers(), () -> entry.mSettings, handler)
                .thenApply(entry::listening);
    }

    /** Refuses every keyed request as {@code not-run}, for a process that can't protect keys. */
    public static KeyedRequests refusingKeys() {
        return (request, attempt) -> CompletableFuture.completedFuture(Answers.keysNotServed());
    }

    /** Address on which callers are answered. */
    public InetSocketAddress address() {
        return mEndpoint.address();
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

    private EntryServer listening(CallerEndpoint endpoint) {
        mEndpoint = endpoint;
        return this;
    }

    private Done stopped(Done done) {
        mFlow.stop();
        return done;
    }
}
