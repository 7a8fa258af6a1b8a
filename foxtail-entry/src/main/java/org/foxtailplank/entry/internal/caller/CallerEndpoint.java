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

/** Listens for callers, bounds what each of them may hold, and closes without losing a request. */
public final class CallerEndpoint {

    private static final Log LOG = Log.of("entry");

    /** Announced in {@code Keep-Alive}: a caller uses no connection that was idle for longer. */
    private static final Duration ANNOUNCED_IDLE = Duration.ofSeconds(5);

    /** Later than announced, so that a request sent at the last moment still finds us reading. */
    private static final Duration IDLE = Duration.ofSeconds(7);

    private static final int MAX_CONNECTIONS = 4096;
    private static final Duration SWEEP = Duration.ofMillis(100);

    private final ClassicActorSystemProvider mSystem;
    private final Materializer mMaterializer;
    private final EntryState mState;
    private final CallerHandler mHandler;
    private final Set<CallerConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final CompletableFuture<Done> mEmpty = new CompletableFuture<>();
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

    /** Binds an address; port 0 takes a free one. */
    public static CompletionStage<CallerEndpoint> bind(
            ClassicActorSystemProvider system,
            InetSocketAddress address,
            EntryState state,
            CallerHandler handler) {
        CallerEndpoint e = new CallerEndpoint(system, state, handler);
        return Http.get(system)
                .newServerAt(address.getHostString(), address.getPort())
                .withSettings(ServerLimits.of(system, state.settings().limits()))
                .connectionSource()
                .to(Sink.foreach(e::accept))
                .run(e.mMaterializer)
                .thenApply(e::start);
    }

    /** Address that was bound. */
    public InetSocketAddress address() {
        return mBinding.localAddress();
    }

    /**
     * Stops: new connections are refused, each request is answered, and a connection is closed with
     * an answer on it or once a caller may no longer use it. Completes when all are closed.
     */
    public CompletionStage<Done> leave() {
        mLeaving = true;
        return mBinding.unbind().thenCompose(done -> mEmpty);
    }

    private CallerEndpoint start(ServerBinding binding) {
        mBinding = binding;
        mSweeper =
                mSystem.classicSystem()
                        .scheduler()
                        .scheduleWithFixedDelay(
                                SWEEP, SWEEP, this::sweep, mSystem.classicSystem().dispatcher());
        return this;
    }

    private void accept(IncomingConnection incoming) {
        SharedKillSwitch killSwitch = KillSwitches.shared("caller");
        InetAddress caller = incoming.remoteAddress().getAddress();
        CallerConnection c = new CallerConnection(caller, killSwitch, System.nanoTime());
        boolean over =
                mConnections.size() >= MAX_CONNECTIONS
                        || countOf(caller) >= mState.settings().limits().connectionsPerCaller();
        mConnections.add(c);
        Flow<HttpRequest, HttpResponse, ?> flow =
                Flow.of(HttpRequest.class)
                        .via(killSwitch.flow())
                        .mapAsync(1, r -> answer(c, r))
                        .watchTermination(
                                (mat, done) -> done.whenComplete((d, e) -> mConnections.remove(c)));
        incoming.handleWith(flow, mMaterializer);
        if (over) {
            LOG.warn("Too many connections from {0}.", caller);
            killSwitch.shutdown();
        }
    }

    private long countOf(InetAddress caller) {
        return mConnections.stream().filter(c -> c.caller().equals(caller)).count();
    }

    private CompletionStage<HttpResponse> answer(CallerConnection c, HttpRequest request) {
        c.begin();
        return mHandler.answer(request, this::keepAlive)
                .whenComplete((r, e) -> c.end(System.nanoTime()));
    }

    private String keepAlive() {
        return mLeaving || mState.leaving() ? "" : "timeout=" + ANNOUNCED_IDLE.toSeconds();
    }

    private void sweep() {
        long now = System.nanoTime();
        mConnections.stream()
                .filter(c -> c.idleFor(IDLE.toNanos(), now))
                .forEach(CallerConnection::close);
        if (mLeaving && mConnections.isEmpty()) {
            mSweeper.cancel();
            mEmpty.complete(Done.getInstance());
        }
    }
}
