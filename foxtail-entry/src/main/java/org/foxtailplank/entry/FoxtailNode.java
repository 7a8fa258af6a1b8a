package org.foxtailplank.entry;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.Done;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.foxtailplank.controller.ConfigurationFollower;
import org.foxtailplank.controller.Controller;
import org.foxtailplank.controller.ControllerContext;
import org.foxtailplank.entry.internal.idempotency.ClaimingRequestHandler;
import org.foxtailplank.entry.internal.idempotency.KeyOptions;
import org.foxtailplank.entry.internal.idempotency.PeerLinkClaimPeers;
import org.foxtailplank.entry.internal.node.WaveTracker;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.platform.LogClient;
import org.foxtailplank.platform.SharedFleetState;
import org.foxtailplank.platform.burn.BurnLog;
import org.foxtailplank.process.Health;
import org.foxtailplank.process.HealthRoutes;
import org.foxtailplank.process.HttpListener;
import org.foxtailplank.process.PekkoRuntime;
import org.foxtailplank.process.ProcessException;
import org.foxtailplank.settings.NodeSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.StateExchange;
import org.foxtailplank.wire.StateExchangeLimits;

/**
 * A process of the system with the role of an entry, a controller, or both.
 *
 * <p>It follows the platform's log, connects to its peers, and starts its roles:
 *
 * <pre>{@code
 * try (PekkoRuntime runtime = PekkoRuntime.start("entry", 4);
 *         FoxtailNode node = FoxtailNode.start(runtime, options)) {
 *     stop.await();
 *     node.leave(Duration.ofSeconds(2)).toCompletableFuture().join();
 * }
 * }</pre>
 */
public final class FoxtailNode implements AutoCloseable {

    private static final Duration LIST_INTERVAL = Duration.ofMillis(500);
    private static final Duration BURN_INTERVAL = Duration.ofSeconds(5);
    private static final Duration BURN_RETENTION = Duration.ofHours(24);

    private final PekkoRuntime mRuntime;
    private final NodeOptions mOptions;
    private final HttpPlatform mPlatform;
    private final LogClient mLog;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final FleetFollower mFleet;
    private final PeerLink mPeers;
    private final ConfigurationFollower mConfiguration;

    private final BurnLog mBurnLog;

    private Optional<EntryServer> mEntry = Optional.empty();
    private Optional<PlatformDirectory> mDirectory = Optional.empty();
    private Optional<ClaimingRequestHandler> mKeyedRequestHandler = Optional.empty();
    private Optional<Controller> mController = Optional.empty();
    private Optional<HttpListener> mListener = Optional.empty();
    private Optional<Cancellable> mBurnTimer = Optional.empty();

    private FoxtailNode(
            PekkoRuntime runtime, NodeOptions options, Incarnation incarnation, PeerLink peers) {
        mRuntime = runtime;
        mOptions = options;
        mPeers = peers;
        Settings settings = options.settings();
        mPlatform =
                HttpPlatform.at(
                        settings.platform().address(),
                        settings.platform().timeout(),
                        runtime.system());
        mLog = LogClient.of(mPlatform.log(), settings);
        mFleet = FleetFollower.start(mLog, FollowOptions.of(options.node(), settings.platform()));
        mConfiguration = new ConfigurationFollower(settings, options.node(), mFleet, peers);
        StateExchange.start(peers, SharedFleetState.of(mFleet), StateExchangeLimits.defaults());
        mBurnLog =
                BurnLog.of(
                        mLog,
                        options.node(),
                        incarnation.value(),
                        () -> mEntry.map(e -> e.counters().read()).orElse(Map.of()),
                        BURN_RETENTION);
    }

    /** Starts a node, which is serving when this method returns. */
    public static FoxtailNode start(PekkoRuntime runtime, NodeOptions options)
            throws ProcessException {
        Incarnation incarnation = Incarnation.random(new SecureRandom());
        FoxtailNode node =
                new FoxtailNode(runtime, options, incarnation, startPeerLink(options, incarnation));
        try {
            node.setSeeds(Seed.from(options.settings()));
            node.startEntry();
            node.startBurnTimer();
            node.startAdmin();
            return node;
        } catch (ProcessException e) {
            node.close();
            throw e;
        }
    }

    /** Returns the address for callers; empty without the entry role. */
    public Optional<InetSocketAddress> callers() {
        return mEntry.map(EntryServer::address);
    }

    /** Returns the address of the administration API, health checks and metrics. */
    public InetSocketAddress admin() {
        return mListener.orElseThrow().address();
    }

    /** Returns the address at which peers can connect to this node. */
    public Seed seed() {
        return new Seed(mOptions.node(), mPeers.self().address());
    }

    /** Replaces the configured addresses of peers. */
    public void setSeeds(Collection<Seed> seeds) {
        mPeers.setSeeds(
                SeedSource.SETTINGS,
                seeds.stream().filter(s -> !s.node().equals(mOptions.node())).toList());
    }

    /** Returns the version of the configuration in force; 0 for the initial one. */
    public long configurationVersion() {
        return mConfiguration.version();
    }

    /**
     * Shuts down gracefully: fails health checks, gives the load balancer time to notice, and
     * answers the requests in flight.
     */
    public CompletionStage<Done> leave(Duration noticeTime) {
        return mEntry.map(entry -> entry.leave(noticeTime))
                .orElseGet(() -> CompletableFuture.completedFuture(Done.getInstance()));
    }

    /** Writes the counts since the last interval, so that a planned stop loses none. */
    private CompletionStage<Done> endBurnInterval() {
        return mBurnLog.endInterval(Instant.now()).thenApply(v -> Done.getInstance());
    }

    @Override
    public void close() {
        mBurnTimer.ifPresent(Cancellable::cancel);
        mController.ifPresent(Controller::stop);
        mListener.ifPresent(HttpListener::unbind);
        mDirectory.ifPresent(PlatformDirectory::stop);
        mKeyedRequestHandler.ifPresent(ClaimingRequestHandler::close);
        mPeers.close();
        mFleet.close();
        mLog.close();
    }

    private static PeerLink startPeerLink(NodeOptions options, Incarnation incarnation)
            throws ProcessException {
        Settings settings = options.settings();
        NodeSettings node = settings.nodes().get(options.node());
        try {
            return PeerLink.start(
                    PeerLinkClaimPeers.options(
                            options.node(), settings, incarnation, options.roles()));
        } catch (PeerLinkException e) {
            throw ProcessException.failed(
                    "Can't listen for peers on " + node.peers() + ": " + e.getMessage(), e);
        }
    }

    private void startEntry() throws ProcessException {
        if (!mOptions.roles().contains(NodeRole.ENTRY)) {
            return;
        }
        PlatformDirectory directory =
                PlatformDirectory.polling(mPlatform.vms(), LIST_INTERVAL, mRuntime.system());
        mDirectory = Optional.of(directory);
        PeerLinkClaimPeers peers = PeerLinkClaimPeers.of(mPeers, mOptions.settings());
        ClaimingRequestHandler handler =
                ClaimingRequestHandler.start(
                        mRuntime.system(),
                        peers.self(),
                        KeyOptions.of(mOptions.settings(), mOptions.newDeployment()),
                        mPlatform.log(),
                        peers,
                        mMetrics);
        mKeyedRequestHandler = Optional.of(handler);
        EntryContext context =
                EntryContext.of(mOptions.node(), mOptions.settings(), directory)
                        .withMetrics(mMetrics)
                        .withWaves(WaveTracker.of(mFleet))
                        .withKeys(handler);
        EntryServer entry = awaitBound(EntryServer.start(mRuntime.system(), context));
        peers.serve(handler, entry::attempt);
        mEntry = Optional.of(entry);
        mConfiguration.onChange(entry::configure);
    }

    private void startBurnTimer() {
        if (mEntry.isEmpty()) {
            return;
        }
        mBurnTimer =
                Optional.of(
                        mRuntime.system()
                                .scheduler()
                                .scheduleWithFixedDelay(
                                        BURN_INTERVAL,
                                        BURN_INTERVAL,
                                        () -> mBurnLog.endInterval(Instant.now()),
                                        mRuntime.system().executionContext()));
    }

    private void startAdmin() throws ProcessException {
        Route routes = HealthRoutes.of(this::health, mMetrics);
        if (mOptions.roles().contains(NodeRole.CONTROL)) {
            Controller controller = Controller.start(mRuntime, controllerContext());
            mController = Optional.of(controller);
            mConfiguration.onChange(controller::configure);
            routes = Directives.concat(routes, controller.route());
        }
        InetSocketAddress address = mOptions.settings().nodes().get(mOptions.node()).admin();
        mListener = Optional.of(HttpListener.bind(mRuntime, address, routes));
    }

    private ControllerContext controllerContext() {
        return ControllerContext.of(mOptions.node(), mOptions.settings(), mFleet, mPlatform)
                .withPeers(mPeers)
                .withMetrics(mMetrics)
                .withBurn(mBurnLog);
    }

    private Health health() {
        boolean leaving = mEntry.map(EntryServer::leaving).orElse(false);
        return new Health(
                leaving ? "leaving" : Health.SERVING,
                Map.of("configurationVersion", mConfiguration.version()));
    }

    private <T> T awaitBound(CompletionStage<T> start) throws ProcessException {
        try {
            return start.toCompletableFuture().join();
        } catch (CompletionException e) {
            NodeSettings node = mOptions.settings().nodes().get(mOptions.node());
            throw ProcessException.failed(
                    "Node "
                            + mOptions.node()
                            + " can't listen on "
                            + node.callers()
                            + " or "
                            + node.admin()
                            + ": "
                            + e.getCause().getMessage()
                            + ". Stop what uses the address, or change it in the settings.",
                    e);
        }
    }
}
