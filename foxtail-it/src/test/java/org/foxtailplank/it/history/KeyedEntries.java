package org.foxtailplank.it.history;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.pekko.actor.ActorSystem;
import org.foxtailplank.entry.Answer;
import org.foxtailplank.entry.CallerRequest;
import org.foxtailplank.entry.EntryContext;
import org.foxtailplank.entry.EntryServer;
import org.foxtailplank.entry.KeyedRequestHandler;
import org.foxtailplank.entry.internal.idempotency.ClaimingRequestHandler;
import org.foxtailplank.entry.internal.idempotency.KeyOptions;
import org.foxtailplank.entry.internal.idempotency.PeerLinkClaimPeers;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.idempotency.Claimant;
import org.foxtailplank.it.process.ProcessReport;
import org.foxtailplank.membership.Incarnation;
import org.foxtailplank.membership.NodeRole;
import org.foxtailplank.membership.PeerIdentity;
import org.foxtailplank.membership.Seed;
import org.foxtailplank.membership.SeedSource;
import org.foxtailplank.platform.HttpPlatform;
import org.foxtailplank.request.BackendServer;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.standin.Execution;
import org.foxtailplank.standin.PlatformOptions;
import org.foxtailplank.standin.PlatformStandin;
import org.foxtailplank.standin.SmallDeployment;
import org.foxtailplank.wire.PeerLink;

/** Entries in this process, with real sockets between them, the platform and backend servers. */
final class KeyedEntries implements AutoCloseable {

    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final long POLL_NANOS = 10_000_000;
    private static final ServiceId SERVICE = ServiceId.of("claims");

    /** One entry; it ends when its actor system is terminated. */
    private record Entry(
            ActorSystem system,
            PeerLink link,
            ClaimingRequestHandler keys,
            EntryServer server,
            MetricRegistry metrics) {}

    private final ActorSystem mStandins = ActorSystem.create("stand-ins");
    private final PlatformStandin mPlatform;
    private final Settings mSettings;
    private final List<Entry> mEntries = new ArrayList<>();
    private final CallerLog mCallers = new CallerLog();
    private final Tampering mTampering;
    private volatile List<BackendServer> mLive;

    KeyedEntries(int entries) throws Exception {
        this(entries, Tampering.NONE);
    }

    KeyedEntries(int entries, Tampering tampering) throws Exception {
        mTampering = tampering;
        URI nowhere = URI.create("http://127.0.0.1:1");
        mPlatform =
                PlatformStandin.start(
                        SmallDeployment.settings(entries, nowhere),
                        PlatformOptions.quick(),
                        mStandins);
        mSettings = SmallDeployment.settings(entries, mPlatform.address());
        for (int i = 0; i < entries; i++) {
            mEntries.add(start(i));
        }
        meet();
    }

    CallerLog callers() {
        return mCallers;
    }

    URI entry(int entry) {
        InetSocketAddress address = mEntries.get(entry).server().address();
        return URI.create("http://127.0.0.1:" + address.getPort());
    }

    CompletableFuture<CallerLog.Result> post(int entry, String key) {
        return post(entry, key, DEADLINE);
    }

    CompletableFuture<CallerLog.Result> post(int entry, String key, Duration deadline) {
        return mCallers.post(entry(entry), key, "claim of " + key, deadline);
    }

    /** Switches a fault of the platform on. */
    void fault(String json) throws IOException, InterruptedException {
        mCallers.control(mPlatform.address().resolve("/faults"), "POST", json);
    }

    void clearFaults() throws IOException, InterruptedException {
        mCallers.control(mPlatform.address().resolve("/faults"), "DELETE", "");
    }

    /** Slows the backend servers of the service down. */
    void slowBackends(long delayMs) throws IOException, InterruptedException {
        for (BackendServer b : live()) {
            URI faults = URI.create("http://127.0.0.1:" + b.address().getPort() + "/faults");
            String json =
                    "{\"target\":\"requests\",\"kind\":\"delay\",\"delayMs\":" + delayMs + "}";
            mCallers.control(faults, "POST", json);
        }
    }

    /** Ends an entry without a word and starts another under the same name. */
    void replace(int entry) throws Exception {
        Entry old = mEntries.get(entry);
        old.link().close();
        old.system().terminate();
        old.system().getWhenTerminated().toCompletableFuture().join();
        mEntries.set(entry, start(entry));
        meet();
    }

    /** Appends of claims by all entries. */
    long appends() {
        return mEntries.stream().mapToLong(e -> e.metrics().meter("keys.appends").getCount()).sum();
    }

    /** Keys that an entry protects, whoever owns them. */
    long protectedKeys(int entry) {
        return gauge(entry, "keys.protected");
    }

    private int gauge(int entry, String name) {
        return (Integer) mEntries.get(entry).metrics().getGauges().get(name).getValue();
    }

    int executions() {
        return mPlatform.executions().values().stream().mapToInt(List::size).sum();
    }

    List<Violation> violations() {
        Map<String, List<Execution>> byName =
                mPlatform.executions().entrySet().stream()
                        .collect(Collectors.toMap(e -> e.getKey().value(), Map.Entry::getValue));
        return HistoryChecker.check(mCallers.withExecutions(byName));
    }

    /** Waits until an entry takes new keys. */
    void awaitTaken(int entry) {
        await(() -> gauge(entry, "keys.taken") == 1);
    }

    /** Waits until a fresh key runs through an entry. */
    void awaitReady(int entry) {
        await(() -> post(entry, "probe-" + System.nanoTime()).join().status() == 200);
    }

    /** Waits for a condition; the limit only ends a test that would hang. */
    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError(
                        "the condition did not come true\n" + ProcessReport.text());
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    @Override
    public void close() {
        for (Entry entry : mEntries) {
            entry.link().close();
            entry.system().terminate();
            entry.system().getWhenTerminated().toCompletableFuture().join();
        }
        mPlatform.close();
        mStandins.terminate();
    }

    private Entry start(int entry) throws Exception {
        NodeId node = NodeId.of("node" + (entry + 1));
        ActorSystem system = ActorSystem.create("entry");
        HttpPlatform platform =
                HttpPlatform.at(mPlatform.address(), mSettings.platform().timeout(), system);
        PeerLink link =
                PeerLink.start(
                        PeerLinkClaimPeers.options(
                                node,
                                mSettings,
                                Incarnation.random(new SecureRandom()),
                                Set.of(NodeRole.ENTRY)));
        PeerLinkClaimPeers peers = PeerLinkClaimPeers.of(link, mSettings);
        MetricRegistry metrics = new MetricRegistry();
        AtomicReference<EntryServer> server = new AtomicReference<>();
        Claimant self = mTampering.self(peers.self());
        ClaimingRequestHandler keys =
                ClaimingRequestHandler.start(
                        system,
                        self,
                        KeyOptions.of(mSettings, true),
                        mTampering.log(self, platform.log()),
                        mTampering.peers(peers, r -> server.get().attempt(r)),
                        metrics);
        EntryContext parts = EntryContext.of(node, mSettings, this::live).withKeys(tampered(keys));
        server.set(EntryServer.start(system, parts).toCompletableFuture().join());
        peers.serve(keys, server.get()::attempt);
        return new Entry(system, link, keys, server.get(), metrics);
    }

    private KeyedRequestHandler tampered(ClaimingRequestHandler keys) {
        return new KeyedRequestHandler() {
            @Override
            public CompletionStage<Answer> answer(
                    CallerRequest request, Supplier<CompletionStage<Answer>> attempt) {
                return keys.answer(request, mTampering.attempt(attempt));
            }

            @Override
            public Optional<String> issueKey() {
                return keys.issueKey();
            }
        };
    }

    private void meet() {
        for (Entry entry : mEntries) {
            List<Seed> others =
                    mEntries.stream()
                            .filter(e -> e != entry)
                            .map(e -> new Seed(e.link().self().node(), e.link().self().address()))
                            .toList();
            entry.link().setSeeds(SeedSource.SETTINGS, others);
        }
        for (Entry entry : mEntries) {
            mEntries.stream()
                    .filter(e -> e != entry)
                    .forEach(e -> await(() -> sees(entry.link(), e.link().self())));
        }
    }

    private static boolean sees(PeerLink link, PeerIdentity other) {
        return link.member(other.node())
                .filter(m -> m.incarnation().equals(other.incarnation()))
                .filter(m -> m.state().isReachable())
                .isPresent();
    }

    private List<BackendServer> live() {
        if (mLive == null) {
            mLive = mSettings.vms().keySet().stream().flatMap(vm -> backend(vm).stream()).toList();
        }
        return mLive;
    }

    private Optional<BackendServer> backend(VmId vm) {
        PoolId pool = mSettings.firstPoolOf(vm).orElseThrow();
        return mPlatform
                .backend(vm)
                .filter(b -> pool.value().equals(SERVICE.value()))
                .map(b -> new BackendServer(vm, SERVICE, zone(vm), b.address()));
    }

    private ZoneId zone(VmId vm) {
        return mSettings.vms().get(vm).zone();
    }
}
