package org.foxtailplank.platform.internal.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.platform.FleetFollower;
import org.foxtailplank.platform.FollowOptions;
import org.foxtailplank.platform.PlatformLog;
import org.foxtailplank.platform.SharedFleetState;
import org.foxtailplank.settings.PeerSettings;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.wire.PeerLink;
import org.foxtailplank.wire.PeerLinkException;
import org.foxtailplank.wire.PeerLinkLimits;
import org.foxtailplank.wire.PeerLinkOptions;
import org.foxtailplank.wire.StateExchange;
import org.foxtailplank.wire.StateExchangeCounts;
import org.foxtailplank.wire.StateExchangeLimits;

/** A node as far as configuration goes: the real follower, peer link and exchange. */
final class ExchangingNode implements AutoCloseable {

    private static final Duration HEARTBEAT = Duration.ofMillis(500);
    private static final Duration SILENCE = Duration.ofSeconds(2);
    private static final Random RANDOM = new Random(5);

    private final NodeId mNode;
    private final CuttableLog mLog;
    private final FleetFollower mFleet;
    private final PeerLink mLink;
    private final Optional<StateExchange> mExchange;
    private volatile long mVersion;
    private volatile long mInForceAt;

    private ExchangingNode(
            String node, String zone, CuttableLog log, Optional<StateExchangeLimits> limits)
            throws PeerLinkException {
        mNode = NodeId.of(node);
        mLog = log;
        mLink =
                PeerLink.start(
                        new PeerLinkOptions(
                                mNode,
                                ZoneId.of(zone),
                                Incarnation.random(RANDOM),
                                Set.of(NodeRole.ENTRY),
                                new InetSocketAddress("127.0.0.1", 0),
                                new PeerSettings("a key for the tests", HEARTBEAT, SILENCE),
                                PeerLinkLimits.defaults()));
        mFleet =
                FleetFollower.start(
                        log, FollowOptions.of(node, Duration.ofSeconds(20), Duration.ofDays(7)));
        mFleet.onChange(this::look);
        mExchange = limits.map(l -> StateExchange.start(mLink, SharedFleetState.of(mFleet), l));
    }

    /** Starts a node, which may be cut off from the platform from the first moment on. */
    static ExchangingNode start(
            String node,
            String zone,
            PlatformLog log,
            boolean cut,
            Optional<StateExchangeLimits> limits)
            throws PeerLinkException {
        CuttableLog own = new CuttableLog(log);
        own.cut(cut);
        return new ExchangingNode(node, zone, own, limits);
    }

    static void meet(List<ExchangingNode> nodes) {
        List<Seed> seeds = nodes.stream().map(n -> new Seed(n.mNode, n.address())).toList();
        nodes.forEach(n -> n.mLink.setSeeds(SeedSource.SETTINGS, seeds));
    }

    void cutFromPlatform(boolean cut) {
        mLog.cut(cut);
    }

    FleetFollower fleet() {
        return mFleet;
    }

    long version() {
        return mVersion;
    }

    long inForceAt() {
        return mInForceAt;
    }

    StateExchangeCounts counts() {
        return mExchange.orElseThrow().counts();
    }

    long peers() {
        return mLink.members().stream().filter(m -> m.state().isReachable()).count();
    }

    /** Publishes on condition of the version in force here. */
    Verdict publish(String id, Change change) throws Exception {
        Map<ObjectKey, Long> expects = Map.of(ObjectKey.configuration(), mVersion);
        LogRecord record = new LogRecord(RecordId.of(id), mNode, Optional.empty(), expects, change);
        return mFleet.submit(record).toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private InetSocketAddress address() {
        return mLink.self().address();
    }

    private void look() {
        mFleet.read(
                view -> {
                    long version = view.configuration().map(Configuration::version).orElse(0L);
                    if (version > mVersion) {
                        mInForceAt = System.nanoTime();
                        mVersion = version;
                        mLink.reportConfiguration(version);
                    }
                    return null;
                });
    }

    @Override
    public void close() {
        mLink.close();
        mFleet.close();
    }
}
