package org.foxtailplank.entry.internal.flow;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.apache.pekko.actor.ClassicActorSystemProvider;
import org.foxtailplank.entry.internal.backend.ConnectionLimits;
import org.foxtailplank.entry.internal.backend.ConnectionPool;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.routing.ConnectionShare;
import org.foxtailplank.internal.routing.Router;
import org.foxtailplank.internal.routing.Target;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.settings.ServiceSettings;
import org.foxtailplank.settings.Settings;

/** Connection pools of the instances that this entry sends requests to. */
final class InstancePools {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration MAX_IDLE = Duration.ofSeconds(2);

    private final ClassicActorSystemProvider mSystem;
    private final ZoneId mZone;
    private final Router mRouter;
    private final Map<VmId, ConnectionPool> mPools = new HashMap<>();
    private Settings mSettings;
    private List<BackendServer> mServers = List.of();

    InstancePools(
            ClassicActorSystemProvider system, ZoneId zone, Settings settings, RandomGenerator r) {
        mSystem = system;
        mZone = zone;
        mSettings = settings;
        mRouter = new Router(zone, 2 * settings.zones().get(zone).oneWayDelay().toNanos(), r);
    }

    Router router() {
        return mRouter;
    }

    /** Updates the pools if the list of live servers has changed. */
    void updateServers(List<BackendServer> servers) {
        if (servers == mServers) {
            return;
        }
        mServers = servers;
        apply();
    }

    void configure(Settings settings) {
        mSettings = settings;
        apply();
    }

    /** Returns the connection pool of an instance. */
    ConnectionPool pool(Target target) {
        ConnectionPool pool = mPools.get(target.server().vm());
        if (pool == null) {
            throw new IllegalStateException("no connection pool for " + target);
        }
        return pool;
    }

    /** Closes connections that have been idle for too long. */
    void closeIdle() {
        mPools.values().forEach(ConnectionPool::closeIdle);
    }

    void close() {
        mPools.values().forEach(ConnectionPool::shutDown);
        mPools.clear();
    }

    private void apply() {
        Map<VmId, BackendServer> before = new HashMap<>();
        mRouter.targets().forEach(t -> before.put(t.server().vm(), t.server()));
        mRouter.updateInstances(
                mServers.stream()
                        .filter(server -> mSettings.services().containsKey(server.service()))
                        .toList(),
                this::share);
        Set<VmId> now = new HashSet<>();
        for (Target t : mRouter.targets()) {
            VmId vm = t.server().vm();
            now.add(vm);
            if (!t.server().equals(before.get(vm))) {
                closePool(vm);
            }
            mPools.computeIfAbsent(vm, id -> openPool(t)).setShare(t.limit());
        }
        Set.copyOf(mPools.keySet()).stream()
                .filter(vm -> !now.contains(vm))
                .forEach(this::closePool);
    }

    private void closePool(VmId vm) {
        ConnectionPool pool = mPools.remove(vm);
        if (pool != null) {
            pool.shutDown();
        }
    }

    private ConnectionPool openPool(Target t) {
        ConnectionLimits limits =
                new ConnectionLimits(CONNECT_TIMEOUT, mSettings.limits().maxBodyBytes(), MAX_IDLE);
        return new ConnectionPool(mSystem, t.server(), limits, t.limit());
    }

    private ConnectionShare share(BackendServer server) {
        int nodeCount = mSettings.nodes().size();
        int sameZone =
                (int)
                        mSettings.nodes().values().stream()
                                .filter(n -> n.zone().equals(server.zone()))
                                .count();
        ServiceId service = server.service();
        ServiceSettings settings = mSettings.services().get(service);
        return ConnectionShare.of(settings.connections(), sameZone, nodeCount - sameZone);
    }

    ZoneId zone() {
        return mZone;
    }
}
