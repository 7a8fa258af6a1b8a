package org.foxtailplank.entry.internal.caller;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.pekko.Done;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.SharedKillSwitch;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.foxtailplank.process.Log;

/**
 * Accepts callers' connections, limits them per caller, and closes them without losing requests.
 */
public final class CallerEndpoint {

    private static final Log LOG = Log.of("entry");

    /**
     * Idle timeout announced in {@code Keep-Alive}, after which callers don't reuse a connection.
     */
    private static final Duration ANNOUNCED_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /** Exceeds the announced timeout, so that a request sent just before it is still read. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(7);

    private static final int MAX_CONNECTIONS = 4096;
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

    private final ClassicActorSystemProvider mSystem;
    private final Materializer mMaterializer;
    private final EntryState mState;
    private final CallerHandler mHandler;
    private final Set<CallerConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Done> mAllClosed = new CompletableFuture<>();
    private ServerBinding mBinding;
    private Cancellable mSweeper;
    private volatile boolean mLeaving;

    private CallerEndpoint(
            ClassicActorSystemProvider system, EntryState state, CallerHandler handler) {
        mSystem = system;
        mMaterializer = Materializer.matFromSystem(system);
        mState = state;
        mHandler = handler;
    }

    /** Binds an address; port 0 selects a free port. */
    public static CompletionStage<CallerEndpoint> bind(
            ClassicActorSystemProvider system,
            InetSocketAddress address,
            EntryState state,
            CallerHandler handler) {
        CallerEndpoint endpoint = new CallerEndpoint(system, state, handler);
        return Http.get(system)
                .newServerAt(address.getHostString(), address.getPort())
                .withSettings(ServerLimits.of(system, state.settings().limits()))
                .connectionSource()
                .to(Sink.foreach(endpoint::accept))
                .run(endpoint.mMaterializer)
                .thenApply(endpoint::start);
    }

    /** Returns the bound address. */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /**
     * Shuts down: refuses new connections, answers the requests in flight, and closes each
     * connection with an answer or when its idle timeout has passed. Completes when all connections
     * are closed.
     */
    public CompletionStage<Done> leave() {
        mLeaving = true;
        return mBinding.unbind().thenCompose(done -> mAllClosed);
    }

    private CallerEndpoint start(ServerBinding binding) {
        mBinding = binding;
        mSweeper =
                mSystem.classicSystem()
                        .scheduler()
                        .scheduleWithFixedDelay(
                                SWEEP_INTERVAL,
                                SWEEP_INTERVAL,
                                this::closeIdle,
                                mSystem.classicSystem().dispatcher());
        return this;
    }

    private void accept(IncomingConnection incoming) {
        SharedKillSwitch killSwitch = KillSwitches.shared("caller");
        InetAddress caller = incoming.remoteAddress().getAddress();
        CallerConnection c = new CallerConnection(caller, killSwitch, System.nanoTime());
        boolean overLimit =
                mConnections.size() >= MAX_CONNECTIONS
                        || connectionCount(caller)
                                >= mState.settings().limits().connectionsPerCaller();
        mConnections.add(c);
        Flow<HttpRequest, HttpResponse, ?> flow =
                Flow.of(HttpRequest.class)
                        .via(killSwitch.flow())
                        .mapAsync(1, r -> answer(c, r))
                        .watchTermination(
                                (mat, done) -> done.whenComplete((d, e) -> mConnections.remove(c)));
        incoming.handleWith(flow, mMaterializer);
        if (overLimit) {
            LOG.warn("Connection closed: too many connections from {0}.", caller);
            killSwitch.shutdown();
        }
    }

    private long connectionCount(InetAddress caller) {
        return mConnections.stream()
                .filter(connection -> connection.caller().equals(caller))
                .count();
    }

    private CompletionStage<HttpResponse> answer(CallerConnection connection, HttpRequest request) {
        connection.begin();
        return mHandler.answer(request, this::keepAlive)
                .whenComplete((r, e) -> connection.end(System.nanoTime()));
    }

    private String keepAlive() {
        return mLeaving || mState.leaving() ? "" : "timeout=" + ANNOUNCED_IDLE_TIMEOUT.toSeconds();
    }

    private void closeIdle() {
        long now = System.nanoTime();
        mConnections.stream()
                .filter(connection -> connection.idleFor(IDLE_TIMEOUT.toNanos(), now))
                .forEach(CallerConnection::close);
        if (mLeaving && mConnections.isEmpty()) {
            mSweeper.cancel();
            mAllClosed.complete(Done.getInstance());
        }
    }
}
