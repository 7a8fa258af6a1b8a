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

/** The instances that this entry sends requests to, each with its connections. */
final class Fleet {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration MAX_IDLE = Duration.ofSeconds(2);

    private final ClassicActorSystemProvider mSystem;
    private final ZoneId mZone;
    private final Router mRouter;
    private final Map<VmId, ConnectionPool> mPools = new HashMap<>();
    private Settings mSettings;
    private List<BackendServer> mListed = List.of();

    Fleet(ClassicActorSystemProvider system, ZoneId zone, Settings settings, RandomGenerator r) {
        mSystem = system;
        mZone = zone;
        mSettings = settings;
        mRouter = new Router(zone, 2 * settings.zones().get(zone).oneWayDelay().toNanos(), r);
    }

    Router router() {
        return mRouter;
    }

    /** Takes over the live list where it has changed. */
    void list(List<BackendServer> servers) {
        if (servers == mListed) {
            return;
        }
        mListed = servers;
        apply();
    }

    void configure(Settings settings) {
        mSettings = settings;
        apply();
    }

    /** The connections to an instance. */
    ConnectionPool pool(Target target) {
        ConnectionPool pool = mPools.get(target.server().vm());
        if (pool == null) {
            throw new IllegalStateException("no connections for " + target);
        }
        return pool;
    }

    /** Closes connections that have been idle for long. */
    void trim() {
        mPools.values().forEach(ConnectionPool::trim);
    }

    void shut() {
        mPools.values().forEach(ConnectionPool::shut);
        mPools.clear();
    }

    private void apply() {
        Map<VmId, BackendServer> before = new HashMap<>();
        mRouter.targets().forEach(t -> before.put(t.server().vm(), t.server()));
        mRouter.list(
                mListed.stream()
                        .filter(s -> mSettings.services().containsKey(s.service()))
                        .toList(),
                this::share);
        Set<VmId> now = new HashSet<>();
        for (Target t : mRouter.targets()) {
            VmId vm = t.server().vm();
            now.add(vm);
            if (!t.server().equals(before.get(vm))) {
                drop(vm);
            }
            mPools.computeIfAbsent(vm, id -> open(t)).share(t.limit());
        }
        Set.copyOf(mPools.keySet()).stream().filter(vm -> !now.contains(vm)).forEach(this::drop);
    }

    private void drop(VmId vm) {
        ConnectionPool old = mPools.remove(vm);
        if (old != null) {
            old.shut();
        }
    }

    private ConnectionPool open(Target t) {
        ConnectionLimits limits =
                new ConnectionLimits(CONNECT_TIMEOUT, mSettings.limits().maxBodyBytes(), MAX_IDLE);
        return new ConnectionPool(mSystem, t.server(), limits, t.limit());
    }

    private ConnectionShare share(BackendServer server) {
        int all = mSettings.nodes().size();
        int near =
                (int)
                        mSettings.nodes().values().stream()
                                .filter(n -> n.zone().equals(server.zone()))
                                .count();
        ServiceId service = server.service();
        ServiceSettings s = mSettings.services().get(service);
        return ConnectionShare.of(s.connections(), near, all - near);
    }

    ZoneId zone() {
        return mZone;
    }
}
