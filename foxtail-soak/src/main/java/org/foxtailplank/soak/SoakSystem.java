package org.foxtailplank.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailplank.adapter.standin.UsersStandin;

/** The platform's stand-in and the nodes of a run. */
final class SoakSystem implements AutoCloseable {
    static final String HOST = "soak.example";
    static final List<String> POOLS = List.of("quick", "heavy", "spare");

    /** Processors of a worker, in thousandths: eight tasks of a quick job. */
    static final long PROCESSORS = 8000;

    /** Pools whose workers start what exceeds their capacity. */
    private static final Set<String> UNCHECKED_POOLS = Set.of("heavy");

    private static final long LEASE_MS = 6000;

    /** Link rate in the settings of nodes whose starts fit the link, in Mbit/s. */
    private static final String AMPLE_LINK = "1000";

    /** The same of nodes whose owner relays most starts. */
    private static final String NARROW_LINK = "0.2";

    private static final int NETWORKS = 250;
    private static final AtomicInteger RUNS = new AtomicInteger();

    private final UsersStandin mPlatform;
    private final SoakOrganisations mOrganisations;
    private final SoakRoutes mRoutes;
    private final List<SoakNode> mNodes = new ArrayList<>();
    private final int mZones;
    private final int mWorkers;

    /** A run that is interrupted would leave its nodes behind. */
    private final Thread mAtExit = new Thread(this::closeNodes, "soak-exit");

    SoakSystem(Schedule schedule, Path folder, SoakHistory history) throws IOException {
        SoakSize size = schedule.size();
        mZones = size.zones();
        mWorkers = size.workers();
        boolean tokensChecked = schedule.seed() % 2 == 0;
        String link = schedule.seed() % 3 == 0 ? NARROW_LINK : AMPLE_LINK;
        List<String> zones = new ArrayList<>();
        for (int z = 0; z < size.zones(); z++) {
            zones.add(zone(z));
        }
        mPlatform =
                new UsersStandin(
                        new UsersStandin.Topology(
                                zones,
                                POOLS,
                                size.workers(),
                                PROCESSORS,
                                LEASE_MS,
                                tokensChecked,
                                UNCHECKED_POOLS),
                        history);
        mPlatform.configure(HOST, POOLS);
        long retentionS = schedule.retentionS();
        mPlatform.setStoreRetention(TimeUnit.SECONDS.toMillis(retentionS));
        mOrganisations = new SoakOrganisations(mPlatform, history);
        mRoutes = new SoakRoutes(mPlatform, history);
        String network = network();
        for (int n = 0; n < size.nodes(); n++) {
            String name = "node-" + n;
            String zone = zones.get(n % size.zones());
            String ip = network + '.' + (n + 1);
            mNodes.add(
                    new SoakNode(
                            name, zone, ip, folder, mPlatform, tokensChecked, link, retentionS));
        }
        Runtime.getRuntime().addShutdownHook(mAtExit);
    }

    /**
     * The first three numbers of a run's loopback addresses. Guards against a node whose port was
     * taken by another run's node between the moment it was found free and its start: callers would
     * ask the other run's node, which knows none of their jobs.
     */
    static String network() {
        long process = ProcessHandle.current().pid() % NETWORKS + 1;
        return "127." + process + '.' + RUNS.getAndIncrement() % NETWORKS;
    }

    String zone(int number) {
        return "zone-" + number % mZones;
    }

    int workers() {
        return mWorkers;
    }

    UsersStandin platform() {
        return mPlatform;
    }

    SoakOrganisations organisations() {
        return mOrganisations;
    }

    SoakRoutes routes() {
        return mRoutes;
    }

    List<SoakNode> nodes() {
        return mNodes;
    }

    /** Starts all nodes that come back. */
    void startAll() throws IOException {
        for (SoakNode n : mNodes) {
            n.start();
        }
    }

    /** The node that took ownership last, as the nodes' logs tell. */
    Optional<SoakNode> owner() throws IOException {
        Optional<SoakNode> owner = Optional.empty();
        long latest = 0;
        for (SoakNode n : mNodes) {
            long since = n.ownsSinceMs();
            if (since > latest) {
                latest = since;
                owner = Optional.of(n);
            }
        }
        return owner;
    }

    /** When a node took ownership last, as the nodes' logs tell; 0 if none has. */
    long lastTakeoverMs() throws IOException {
        long latest = 0;
        for (SoakNode n : mNodes) {
            latest = Math.max(latest, n.ownsSinceMs());
        }
        return latest;
    }

    private void closeNodes() {
        mNodes.forEach(SoakNode::close);
    }

    @Override
    public void close() {
        closeNodes();
        mPlatform.close();
        Runtime.getRuntime().removeShutdownHook(mAtExit);
    }
}
