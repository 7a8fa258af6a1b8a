package org.foxtailplank.controller.internal.act;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.settings.Settings;
import org.foxtailplank.settings.VmSettings;
import org.foxtailplank.standin.SmallDeployment;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolDefinition;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmLocation;
import org.foxtailplank.state.WaveStarted;

/** A zone with two services on three racks, with fakes of its log, platform and workers. */
final class TestFleet {
    static final ZoneId ZONE = ZoneId.of("a");
    static final ChangeAuthor OPERATOR = new ChangeAuthor("operators", "test");
    static final FleetSettings SETTINGS =
            new FleetSettings(
                    0.5,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(2),
                    Duration.ofMinutes(10));
    static final Map<NodeId, ZoneId> NODES =
            Map.of(NodeId.of("a-1"), ZONE, NodeId.of("a-2"), ZONE, NodeId.of("a-3"), ZONE);
    static final Duration SETTLING_TIME = Duration.ofMinutes(2);
    static final int MIN_AVAILABLE = 2;
    private static final Duration TICK = Duration.ofMillis(250);
    private static final int MAX_TICKS = 2_000;
    private static final String[] SERVICES = {"claims", "quotes"};
    private static final int PROCESSORS = 8;
    private static final long MEMORY = 32L << 30;
    private static final int RACKS = 3;
    private static final int VMS_PER_RACK = 2;

    private final FakeClock mClock = new FakeClock();
    private final FakeFleetLog mLog = new FakeFleetLog();
    private final FakeVmPlatform mPlatform = new FakeVmPlatform(mClock);
    private final Map<VmId, VmSettings> mSizes = new HashMap<>();
    private final FakeTaskWorkers mWorkers;
    private final Set<NodeId> mSilent = new HashSet<>();
    private final FakeFleetLog.Follower mObserver = mLog.follow(Interruption.none());
    private int mRecords;

    TestFleet() {
        Map<VmId, VmLocation> locations = new HashMap<>();
        Map<PoolId, PoolDefinition> pools = new HashMap<>();
        Map<ServiceId, Integer> budgets = new HashMap<>();
        for (String service : SERVICES) {
            int all = RACKS * VMS_PER_RACK;
            pools.put(
                    PoolId.of(service),
                    new PoolDefinition(Optional.of(ServiceId.of(service)), all, 0));
            budgets.put(ServiceId.of(service), MIN_AVAILABLE);
            for (int i = 0; i < all; i++) {
                String vm = service + "-" + i;
                String rack = "r" + i / VMS_PER_RACK;
                mPlatform.add(vm, ZONE.value(), rack, service);
                mSizes.put(
                        VmId.of(vm), new VmSettings(RackId.of(rack), ZONE, PROCESSORS, MEMORY, 0));
                locations.put(
                        VmId.of(vm), new VmLocation(ZONE, RackId.of(rack), PoolId.of(service)));
            }
        }
        mWorkers = new FakeTaskWorkers(mClock, List.copyOf(mSizes.keySet()));
        FleetTopology topology = new FleetTopology(locations, pools, budgets);
        Change change = new ConfigurationPublished("{}", Map.of(), topology, OPERATOR);
        submit(change, ObjectKey.configuration(), 0);
    }

    FakeClock clock() {
        return mClock;
    }

    FakeFleetLog log() {
        return mLog;
    }

    FakeVmPlatform platform() {
        return mPlatform;
    }

    FakeTaskWorkers workers() {
        return mWorkers;
    }

    /** Returns settings with the VM sizes and team quotas that placement reads. */
    Settings settings() {
        Settings small = SmallDeployment.settings(1, URI.create("http://127.0.0.1:1"));
        return new Settings(
                small.deployment(),
                SETTINGS,
                small.zones(),
                small.racks(),
                mSizes,
                small.services(),
                small.pools(),
                small.teams(),
                small.nodes(),
                small.platform(),
                small.peers(),
                small.limits());
    }

    FleetView view() {
        return mObserver.view();
    }

    /** Returns the mutable set of nodes that other nodes no longer hear. */
    Set<NodeId> silentNodes() {
        return mSilent;
    }

    TestController start(String name, Interruption interruption) {
        return new TestController(name, "life" + mRecords++, this, interruption);
    }

    Verdict submit(Change change, ObjectKey key, long version) {
        FakeFleetLog.Follower operator = mLog.follow(Interruption.none());
        return operator.submit(
                        new LogRecord(
                                RecordId.of("operator-" + mRecords++),
                                NodeId.of("cli"),
                                Optional.empty(),
                                Map.of(key, version),
                                change))
                .toCompletableFuture()
                .join();
    }

    void startWave(String id) {
        WaveId wave = WaveId.of(id);
        Change change = new WaveStarted(wave, Set.of(ZONE), Set.of(), OPERATOR);
        assertTrue(submit(change, ObjectKey.of(wave), 0).isApplied());
    }

    /** Runs the controllers and advances the clock until a condition holds. */
    void runUntil(Predicate<FleetView> goal, TestController... nodes) {
        for (int i = 0; i < MAX_TICKS && !goal.test(view()); i++) {
            tick(nodes);
        }
        assertTrue(
                goal.test(view()), "the fleet did not reach the expected state: " + view().vms());
    }

    void run(Duration time, TestController... nodes) {
        for (long i = 0; i < time.dividedBy(TICK); i++) {
            tick(nodes);
        }
    }

    private void tick(TestController... nodes) {
        for (TestController node : nodes) {
            node.reconcile();
            assertBudgetsHold();
        }
        mClock.advance(TICK);
    }

    /** Asserts that only the holder of the zone's epoch changed VMs and waves. */
    void assertNothingAppliedAfterItsEpoch() {
        Optional<NodeId> holder = Optional.empty();
        for (int i = 0; i < mLog.records().size(); i++) {
            LogRecord record = mLog.records().get(i);
            boolean applied = mObserver.verdicts().get(i).isApplied();
            if (applied && record.change() instanceof EpochTaken taken) {
                holder = taken.shard().equals(ZONE) ? Optional.of(taken.holder()) : holder;
            } else if (applied && NODES.containsKey(record.writer())) {
                assertEquals(holder, Optional.of(record.writer()), record.toString());
            }
        }
    }

    /** Asserts that no service is below its availability budget. */
    void assertBudgetsHold() {
        for (String service : SERVICES) {
            long serving = mPlatform.serving(service);
            assertTrue(serving >= MIN_AVAILABLE, service + " has " + serving + " instances");
        }
    }
}
