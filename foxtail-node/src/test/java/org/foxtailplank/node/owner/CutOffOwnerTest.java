package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.PlacementRule;
import org.foxtailplank.job.QueueTerms;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeLog;
import org.foxtailplank.node.FakeNode;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.Feed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorOrder;
import org.foxtailplank.port.PoolService;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmActions;
import org.foxtailplank.port.WaveBoard;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tasks of workers that one owner reaches and another one doesn't run in one place at a time. */
public class CutOffOwnerTest {
    private static final String SERVICE = "reconciliation";
    private static final String JOB = "00000000000000aa";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final ScheduleLimits LIMITS = new ScheduleLimits(6000, 250);
    private static final long STEP_MS = 10;

    private FakeNode mTime;
    private FakeLog mLog;
    private FakeWorkers mWorkers;
    private FakeDirectory mDirectory;
    private List<OwnerParts> mParts;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeNode();
        mLog = new FakeLog();
        mWorkers = new FakeWorkers(mTime);
        mDirectory = new FakeDirectory();
        mParts = new ArrayList<>();
    }

    /** Lists two VMs that stay as they are. */
    private static final class Vms implements VmActions {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> then) {
            then.accept(Optional.of(List.of(vm("vm1", "w1"), vm("vm2", "w2"))));
        }

        private static VmInfo vm(String id, String worker) {
            return new VmInfo(id, SERVICE, VmPhase.UP, worker, Resources.of(8, 1L << 40, 0));
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> then) {
            then.accept(VmOutcome.NOT_DONE);
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> then) {
            then.accept(VmOutcome.NOT_DONE);
        }
    }

    private OwnerWork owner(SharedLog path, FakeWorkers.Way way, TakeOver taken) {
        PoolService service = new PoolService(SERVICE, true, false);
        OperatorOrder config =
                new OperatorOrder.NewConfig(new FleetConfig(1, List.of(), List.of(service), 1000));
        Feed<OperatorOrder> orders =
                new StillFeed<>(List.of(new Feed.Item<>("config", Optional.of(config))));
        OperatorFollower operator =
                new OperatorFollower(orders, mTime, mTime, NodeLog.silent(mTime));
        operator.refresh(read -> {});
        WaveBoard board = (number, completed, then) -> then.accept(new SharedLog.Stored(0, 1));
        OwnerParts.Platform platform =
                new OwnerParts.Platform(mDirectory, way, new Vms(), null, board);
        OwnerWork[] work = new OwnerWork[1];
        OwnerParts parts =
                FakeOwnerParts.of(
                        mTime,
                        path,
                        true,
                        LIMITS,
                        operator,
                        platform,
                        (record, job) -> work[0].recorded(record, job));
        work[0] = new OwnerWork(parts, taken, () -> {});
        mParts.add(parts);
        work[0].start();
        return work[0];
    }

    /** A job whose one task runs until it is cancelled. */
    private static byte[] standingJob() {
        TaskStep step =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        PlacementRule.ANYWHERE,
                        new RunMode(false, true, false, false, 0, 0));
        QueueTerms terms = new QueueTerms(0, 2, 1.6, 600, Optional.empty());
        JobOrder order =
                new JobOrder(
                        JOB, "queue", SERVICE, "text", List.of(step), Timetable.AT_ONCE, terms, 1);
        return JournalCodec.encode(new JobAccepted(order));
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mTime.pass(STEP_MS);
            mParts.forEach(p -> p.reader().refresh(read -> {}));
            mLog.answer();
        }
    }

    /** Lets time pass and looks at each moment at how often the task runs. */
    private void passWithOneRunAtMost(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            pass(STEP_MS);
            List<String> where = mWorkers.running(TASK);
            assertTrue(where.size() <= 1, "after " + t + " ms on " + where);
        }
    }

    /** The first owner, which reaches one worker and has started the task there. */
    private OwnerWork ownerOfFirstWorker(SharedLog path, FakeWorkers.Way way) {
        mDirectory.list("w1", SERVICE);
        mDirectory.list("w2", SERVICE);
        way.cut("w2");
        OwnerWork first = owner(path, way, new TakeOver(1, true, true));
        first.handedOver(standingJob(), outcome -> {});
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        return first;
    }

    @Test
    public void aSuccessorDoesNotStartWhatItsCutOffPredecessorKeepsAlive() {
        // A standing task ran on two workers for 18 s. The owner was cut off from the store and
        // from the other zones, together with the worker that ran the task, and was replaced 0.6 s
        // later. Its successor reached no worker of that zone, waited from its take-over for the
        // time that one lease can last (6.44 s: taken over at 20.339 s, "run 3" started at
        // 26.779 s), and took the run as lapsed. The former owner knew of nothing and had renewed
        // the lease all the while: "10.015 s to 45.025 s run 2 ... stopped".
        LogPath path = new LogPath(mLog);
        ownerOfFirstWorker(path, mWorkers.way());

        path.cut();
        pass(600);
        FakeWorkers.Way way = mWorkers.way();
        way.cut("w1");
        owner(new LogPath(mLog), way, new TakeOver(2, false, false));
        passWithOneRunAtMost(30_000);

        assertEquals(mWorkers.running(TASK), List.of("w2"), "it serves again at last");
    }

    @Test
    public void aRunThatIsFoundAgainAsItsWorkerIsForgottenIsStopped() {
        // After the cut the doubled run went on for 18 s more, until another node took over: "run 2
        // ... 45.116 s stopped". The owner had dropped what it knew of the worker, which was
        // silent, in no list and without runs, while a look at it was on its way. The cut healed,
        // the look was answered, and the looks went on for what had been dropped: they renewed the
        // lease, and the stop that they asked for was never sent.
        ownerOfFirstWorker(new LogPath(mLog), mWorkers.way()).end();
        mWorkers.holdLease("w1");
        FakeWorkers.Way way = mWorkers.way();
        way.cut("w1");
        owner(new LogPath(mLog), way, new TakeOver(2, false, false));
        pass(100);
        mDirectory.drop("w1");
        for (int i = 0; i < 2000 && mWorkers.running(TASK).size() < 2; i++) {
            pass(STEP_MS);
        }
        assertEquals(mWorkers.running(TASK).size(), 2, "the owner takes the first run as lapsed");

        way.heal("w1");
        pass(1000);
        mDirectory.list("w1", SERVICE);
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }

    @Test
    public void anOwnerThatLosesTheStoreForSecondsKeepsStandingTasksAtWork() {
        // The store is down for everybody, so that nobody can replace the owner. Users see no gap
        // in what stands: leases are renewed for long enough to bear the outage.
        LogPath path = new LogPath(mLog);
        ownerOfFirstWorker(path, mWorkers.way());

        path.cut();
        pass(8000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }
}
