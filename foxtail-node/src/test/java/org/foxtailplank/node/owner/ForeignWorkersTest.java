package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.OrderOutcome;
import org.foxtailplank.port.PoolService;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmActions;
import org.foxtailplank.port.WaveBoard;
import org.foxtailplank.port.WorkerInfo;
import org.foxtailplank.port.WorkerOrders;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Entries of another writer in the directory of workers, and what the owner does about them.
 *
 * <p>Callers see jobs wait, or done twice: the owner gives tasks to a worker that only a foreign
 * entry names, or goes on giving them to one whose own entry was overwritten.
 */
public class ForeignWorkersTest {
    /** Some reads of the directory. */
    private static final long READS_MS = 200;

    private FakeNode mTime;
    private FakeLog mLog;
    private FakeFeed<WorkerInfo> mDirectory;
    private FakeFeed<OperatorOrder> mOrders;
    private OperatorFollower mOperator;
    private Set<String> mLookedAt;
    private OwnerWork mOwner;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mDirectory = new FakeFeed<>();
        mOrders = new FakeFeed<>();
        mOperator = new OperatorFollower(mOrders, mTime, mTime, NodeLog.silent(mTime));
        mLookedAt = new HashSet<>();
        config(1, "surveys");
    }

    /** Answers every look; nothing runs anywhere. */
    private final class Workers implements WorkerOrders {
        @Override
        public void start(WorkerAddress worker, StartOrder order, Consumer<OrderAnswer> then) {
            throw new AssertionError("there is no job");
        }

        @Override
        public void stop(WorkerAddress worker, RunOrder order, Consumer<OrderAnswer> then) {
            throw new AssertionError("there is no job");
        }

        @Override
        public void pace(
                WorkerAddress worker, RunOrder order, int percent, Consumer<OrderAnswer> then) {
            throw new AssertionError("there is no job");
        }

        @Override
        public void look(WorkerAddress worker, LookOrder order, Consumer<LookAnswer> then) {
            mLookedAt.add(worker.id());
            LookAnswer answer =
                    new LookAnswer(OrderOutcome.DONE, mTime.nowMs(), List.of(), List.of());
            mTime.after(Math.max(1, order.waitMs()), () -> then.accept(answer));
        }
    }

    /** The VM service, which isn't reached. */
    private static final class NoVms implements VmActions {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> then) {
            then.accept(Optional.empty());
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("no VM is known");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then) {
            throw new AssertionError("no VM is known");
        }
    }

    private void config(long version, String service) {
        PoolService pool = new PoolService(service, true, false);
        FleetConfig config = new FleetConfig(version, List.of(), List.of(pool), 1000);
        mOrders.put("config", new OperatorOrder.NewConfig(config));
        mOperator.refresh(read -> {});
    }

    private static WorkerInfo worker(String id, String service) {
        Resources room = Resources.of(8, 1L << 40, 0);
        return new WorkerInfo(
                id, service, "10.0.0.1:1", "zone", room, Set.of("a", "r1"), "r1", false);
    }

    private void startOwner() {
        WaveBoard board = (number, completed, then) -> then.accept(new SharedLog.Stored(0, 1));
        OwnerParts.Platform platform =
                new OwnerParts.Platform(mDirectory, new Workers(), new NoVms(), null, board);
        OwnerParts parts = FakeOwnerParts.of(mTime, mLog, true, mOperator, platform);
        mOwner = new OwnerWork(parts, new TakeOver(1, true, true), () -> {});
        mOwner.start();
        pass(READS_MS);
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.pass(10);
            mLog.answer();
        }
    }

    private boolean isListed(String worker) {
        return mOwner.scheduler().worker(worker).map(w -> w.isListed()).orElse(false);
    }

    @Test
    public void anEntryThatCannotBeReadNamesNoWorkerAndTheOthersHold() {
        mDirectory.put("w1", worker("w1", "surveys"));
        mDirectory.putForeign("w2");
        mDirectory.putForeign("");
        mDirectory.put("w3", worker("w3", "surveys"));
        startOwner();

        assertEquals(mLookedAt, Set.of("w1", "w3"));
        assertTrue(mOwner.scheduler().worker("w2").isEmpty());
    }

    @Test
    public void aWorkerWhoseEntryCannotBeReadAnyMoreIsListedNoMoreUntilItSaysSo() {
        // A worker was known when another writer overwrote its entry. Its old entry must not go on
        // counting: nobody knows whether the worker drains. Its next heartbeat brings it back.
        mDirectory.put("w1", worker("w1", "surveys"));
        startOwner();
        boolean before = isListed("w1");
        mDirectory.putForeign("w1");
        pass(READS_MS);
        boolean meanwhile = isListed("w1");
        mDirectory.put("w1", worker("w1", "surveys"));
        pass(READS_MS);

        assertTrue(before);
        assertFalse(meanwhile);
        assertTrue(isListed("w1"));
    }

    @Test
    public void aWorkerOfAServiceThatIsNotNamedIsNeitherListedNorLookedAt() {
        mDirectory.put("w1", worker("w1", "nobodys"));
        mDirectory.put("w2", worker("w2", "surveys"));
        startOwner();

        assertEquals(mLookedAt, Set.of("w2"));
        assertFalse(isListed("w1"));
    }

    @Test
    public void aWorkerIsTakenInOnceTheConfigurationNamesItsService() {
        // The configuration and the directory are read side by side, so that a worker of a new
        // service may be read first. Dropped for good it would stand idle until it says something.
        mDirectory.put("w1", worker("w1", "reports"));
        startOwner();
        boolean early = isListed("w1");
        config(2, "reports");
        pass(READS_MS);

        assertFalse(early);
        assertTrue(isListed("w1"));
        assertEquals(mLookedAt, Set.of("w1"));
    }

    @Test
    public void aWorkerThatWasDroppedIsNotTakenInByALaterConfiguration() {
        mDirectory.put("w1", worker("w1", "reports"));
        startOwner();
        mDirectory.drop("w1");
        pass(READS_MS);
        config(2, "reports");
        pass(READS_MS);

        assertTrue(mLookedAt.isEmpty());
        assertFalse(isListed("w1"));
    }

    @Test
    public void aWorkerWhoseServiceIsNamedNoMoreIsListedNoMore() {
        mDirectory.put("w1", worker("w1", "surveys"));
        startOwner();
        boolean before = isListed("w1");
        mDirectory.put("w1", worker("w1", "nobodys"));
        pass(READS_MS);

        assertTrue(before);
        assertFalse(isListed("w1"));
    }

    @Test
    public void anOwnerWithoutAConfigurationLooksAtAllWorkers() {
        // A new owner that has no configuration yet must renew the leases of what runs: were its
        // workers not looked at, all their tasks would end.
        mOperator = new OperatorFollower(new FakeFeed<>(), mTime, mTime, NodeLog.silent(mTime));
        mDirectory.put("w1", worker("w1", "surveys"));
        startOwner();

        assertEquals(mLookedAt, Set.of("w1"));
    }
}
