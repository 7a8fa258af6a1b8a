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
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.node.FakeFeed;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that foreign entries in the worker directory are ignored.
 *
 * <p>Otherwise the owner assigns tasks to a worker that only a foreign entry names, or keeps using
 * one whose own entry was overwritten, and jobs wait or run twice.
 */
public class ForeignWorkersTest {
    /** Long enough for several reads of the directory. */
    private static final long READS_MS = 200;

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private FakeFeed<WorkerInfo> mDirectory;
    private FakeFeed<OperatorChange> mOperatorChanges;
    private OperatorFollower mOperator;
    private Set<String> mPolled;
    private OwnerSession mOwner;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mDirectory = new FakeFeed<>();
        mOperatorChanges = new FakeFeed<>();
        mOperator = new OperatorFollower(mOperatorChanges, mTime, mTime, NodeLog.silent(mTime));
        mPolled = new HashSet<>();
        putConfig(1, "surveys");
    }

    /** Answers every poll with no runs. */
    private final class Workers implements WorkerClient {
        @Override
        public void start(
                WorkerAddress worker, StartCommand command, Consumer<CommandResponse> callback) {
            throw new AssertionError("there is no job");
        }

        @Override
        public void stop(
                WorkerAddress worker, RunCommand command, Consumer<CommandResponse> callback) {
            throw new AssertionError("there is no job");
        }

        @Override
        public void throttle(
                WorkerAddress worker,
                RunCommand command,
                int percent,
                Consumer<CommandResponse> callback) {
            throw new AssertionError("there is no job");
        }

        @Override
        public void poll(
                WorkerAddress worker, PollCommand command, Consumer<PollResponse> callback) {
            mPolled.add(worker.id());
            PollResponse response =
                    new PollResponse(
                            CommandOutcome.DONE,
                            WorkerIncarnation.UNKNOWN_START_MS,
                            mTime.nowMs(),
                            List.of(),
                            List.of());
            mTime.after(Math.max(1, command.waitMs()), () -> callback.accept(response));
        }
    }

    /** A VM service that cannot be reached. */
    private static final class NoVms implements VmClient {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            callback.accept(Optional.empty());
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            throw new AssertionError("no VM is known");
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            throw new AssertionError("no VM is known");
        }
    }

    private void putConfig(long version, String service) {
        ServiceConfig pool = new ServiceConfig(service, true, false);
        FleetConfig config = new FleetConfig(version, List.of(), List.of(pool), 1000);
        mOperatorChanges.put("config", new OperatorChange.NewConfig(config));
        mOperator.refresh();
    }

    private static WorkerInfo worker(String id, String service) {
        Resources room = Resources.of(8, 1L << 40, 0);
        return new WorkerInfo(
                WorkerIncarnation.ofUnknownStart(id),
                service,
                "10.0.0.1:1",
                "zone",
                room,
                Set.of("a", "r1"),
                "r1",
                false);
    }

    private void startOwner() {
        WavePublisher wavePublisher =
                (number, completed, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        OwnerContext.Platform platform =
                new OwnerContext.Platform(
                        mDirectory, new Workers(), new NoVms(), null, wavePublisher);
        OwnerContext context = FakeOwnerContext.of(mTime, mLog, true, mOperator, platform);
        mOwner = new OwnerSession(context, new Takeover(1, true, true), () -> {});
        mOwner.start();
        pass(READS_MS);
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += 10) {
            mTime.advance(10);
            mLog.deliverAnswers();
        }
    }

    private boolean isListed(String worker) {
        return mOwner.scheduler()
                .worker(worker)
                .map(w -> w.registration().isListed())
                .orElse(false);
    }

    @Test
    public void unreadableEntriesAreIgnoredAndOthersApply() {
        mDirectory.put("w1", worker("w1", "surveys"));
        mDirectory.putUnreadable("w2");
        mDirectory.putUnreadable("");
        mDirectory.put("w3", worker("w3", "surveys"));
        startOwner();

        assertEquals(mPolled, Set.of("w1", "w3"));
        assertTrue(mOwner.scheduler().worker("w2").isEmpty());
    }

    @Test
    public void workerWithOverwrittenEntryIsUnlistedUntilItsNextEntry() {
        // A worker's old entry must not count after a foreign writer has overwritten it, since the
        // worker may be draining; its next heartbeat lists it again.
        mDirectory.put("w1", worker("w1", "surveys"));
        startOwner();
        boolean listedBefore = isListed("w1");
        mDirectory.putUnreadable("w1");
        pass(READS_MS);
        boolean listedWhileUnreadable = isListed("w1");
        mDirectory.put("w1", worker("w1", "surveys"));
        pass(READS_MS);

        assertTrue(listedBefore);
        assertFalse(listedWhileUnreadable);
        assertTrue(isListed("w1"));
    }

    @Test
    public void workerOfUnconfiguredServiceIsNeitherListedNorPolled() {
        mDirectory.put("w1", worker("w1", "nobodys"));
        mDirectory.put("w2", worker("w2", "surveys"));
        startOwner();

        assertEquals(mPolled, Set.of("w2"));
        assertFalse(isListed("w1"));
    }

    @Test
    public void workerIsListedOnceItsServiceIsConfigured() {
        // The configuration and the directory are read concurrently, so a worker of a new service
        // may be read first. It must not be dropped until its next entry.
        mDirectory.put("w1", worker("w1", "reports"));
        startOwner();
        boolean listedEarly = isListed("w1");
        putConfig(2, "reports");
        pass(READS_MS);

        assertFalse(listedEarly);
        assertTrue(isListed("w1"));
        assertEquals(mPolled, Set.of("w1"));
    }

    @Test
    public void removedWorkerIsNotListedByALaterConfiguration() {
        mDirectory.put("w1", worker("w1", "reports"));
        startOwner();
        mDirectory.putDeletion("w1");
        pass(READS_MS);
        putConfig(2, "reports");
        pass(READS_MS);

        assertTrue(mPolled.isEmpty());
        assertFalse(isListed("w1"));
    }

    @Test
    public void workerThatMovesToUnconfiguredServiceIsUnlisted() {
        mDirectory.put("w1", worker("w1", "surveys"));
        startOwner();
        boolean listedBefore = isListed("w1");
        mDirectory.put("w1", worker("w1", "nobodys"));
        pass(READS_MS);

        assertTrue(listedBefore);
        assertFalse(isListed("w1"));
    }

    @Test
    public void ownerWithoutConfigurationPollsAllWorkers() {
        // An owner without a configuration must still renew the leases of running tasks.
        mOperator = new OperatorFollower(new FakeFeed<>(), mTime, mTime, NodeLog.silent(mTime));
        mDirectory.put("w1", worker("w1", "surveys"));
        startOwner();

        assertEquals(mPolled, Set.of("w1"));
    }
}
