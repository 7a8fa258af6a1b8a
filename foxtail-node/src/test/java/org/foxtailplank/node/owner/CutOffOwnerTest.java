package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.port.LogPartition;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.WorkerEndReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a task runs at most once at a time when successive owners reach different workers. */
public class CutOffOwnerTest extends OwnerFleetTestBase {
    /** Time in which a worker of {@link FakeWorkers} answers a poll. */
    private static final long POLL_MS = 510;

    private boolean[] mLateFromFirstStart;

    @BeforeMethod
    public void setUp() {
        mLateFromFirstStart = new boolean[0];
    }

    /** Lets time pass in which owners read nothing from the journal. */
    private void passWithoutReads(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mTime.advance(STEP_MS);
            mLog.deliverAnswers();
        }
    }

    /** Starts the first owner, which reaches only worker w1 and has started the task there. */
    private OwnerSession startOwnerWithFirstWorker(
            SharedLog log, FakeWorkers.Connection connection) {
        return startOwnerWithFirstWorker(log, connection, standingJob());
    }

    private OwnerSession startOwnerWithFirstWorker(
            SharedLog log, FakeWorkers.Connection connection, byte[] job) {
        mDirectory.add("w1", SERVICE);
        mDirectory.add("w2", SERVICE);
        connection.disconnect("w2");
        OwnerSession first = startOwner(log, connection, new Takeover(1, true, true));
        first.storeHandedOver(job, outcome -> {});
        pass(2000);
        assertEquals(mWorkers.running(TASK), List.of("w1"));
        return first;
    }

    @Test
    public void successorDoesNotStartTaskWhileDisconnectedPredecessorRenewsItsLease() {
        // A successor that cannot reach a worker must not restart its standing task while the
        // disconnected predecessor, unaware of the takeover, can still renew the worker's lease.
        DisconnectableLog log = new DisconnectableLog(mLog);
        startOwnerWithFirstWorker(log, mWorkers.connect());

        log.disconnect();
        pass(600);
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(new DisconnectableLog(mLog), connection, new Takeover(2, false, false));
        passAssertingAtMostOneRun(TASK, 30_000);

        assertEquals(
                mWorkers.running(TASK), List.of("w2"), "the task finally runs on the other worker");
    }

    @Test
    public void orphanRunOnDroppedWorkerIsStopped() {
        // A poll in flight when its worker is dropped must not keep polling after the connection is
        // back: it would renew the lease of a duplicate run without ever stopping it.
        startOwnerWithFirstWorker(new DisconnectableLog(mLog), mWorkers.connect()).end();
        mWorkers.holdLease("w1");
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(new DisconnectableLog(mLog), connection, new Takeover(2, false, false));
        pass(100);
        mDirectory.remove("w1");
        for (int i = 0; i < 2000 && mWorkers.running(TASK).size() < 2; i++) {
            pass(STEP_MS);
        }
        assertEquals(mWorkers.running(TASK).size(), 2, "the owner treats the first run as lapsed");

        connection.reconnect("w1");
        pass(1000);
        mDirectory.add("w1", SERVICE);
        pass(2000);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }

    @Test
    public void taskIsNotRestartedWhileItsEarlierEndMayStillBeAccepted() {
        // A task that finished on an unreachable worker must not be restarted while its lease
        // lasts: once the worker is reachable, its end would be accepted although a second run had
        // started.
        DisconnectableLog log = new DisconnectableLog(mLog);
        startOwnerWithFirstWorker(log, mWorkers.connect(), job(RunMode.PLAIN));

        log.disconnect();
        pass(600);
        mWorkers.finish("w1", TASK);
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(new DisconnectableLog(mLog), connection, new Takeover(2, false, false));
        for (int i = 0; i < 2000 && mWorkers.running(TASK).isEmpty(); i++) {
            pass(STEP_MS);
        }

        assertEquals(mWorkers.running(TASK), List.of("w2"));
        assertTrue(
                mWorkers.hasLeaseExpired("w1"),
                "the lease has expired, so the earlier end cannot be accepted");
    }

    /** Guards against a second start of a task whose end only a resigned owner was told. */
    @Test
    public void anEndListedToAResignedOwnerIsKept() {
        OwnerSession first =
                startOwnerWithFirstWorker(
                        new DisconnectableLog(mLog), mWorkers.connect(), job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        long polls = pollCount();
        while (pollCount() == polls) {
            pass(STEP_MS);
        }

        first.resign(() -> {});
        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(new DisconnectableLog(mLog), connection, new Takeover(2, false, true));
        for (int i = 0; i < 2000; i++) {
            pass(STEP_MS);
            assertEquals(mWorkers.running(TASK), List.of(), "after " + i * STEP_MS + " ms");
        }
    }

    /** Guards against a second start of a task whose end a fenced owner could not store. */
    @Test
    public void anEndThatAFencedOwnerCouldNotStoreIsKept() {
        DisconnectableLog log = new DisconnectableLog(mLog);
        OwnerSession first = startOwnerWithFirstWorker(log, mWorkers.connect(), job(RunMode.PLAIN));
        log.disconnect();
        mWorkers.finish("w1", TASK);
        pass(1500);

        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(new DisconnectableLog(mLog), connection, new Takeover(2, false, false));
        pass(1000);
        log.reconnect();
        first.handleFenced("another worker");
        for (int i = 0; i < 2000; i++) {
            pass(STEP_MS);
            assertEquals(mWorkers.running(TASK), List.of(), "after " + i * STEP_MS + " ms");
        }
    }

    /** Guards against a second start of a task whose end arrives after its worker was removed. */
    @Test
    public void anEndThatArrivesAfterItsWorkerWasRemovedCountsBeforeItIsReadBack() {
        FakeWorkers.Connection connection = mWorkers.connect();
        OwnerSession owner = startOwnerWithFirstWorker(mLog, connection, job(RunMode.PLAIN));
        mWorkers.finish("w1", TASK);
        pass(POLL_MS);
        owner.handleWorkerEnded(
                owner.scheduler().worker("w1").orElseThrow(), WorkerEndReason.MOVED_OR_REBOOTED);
        passWithoutReads(POLL_MS);

        connection.reconnect("w2");
        passWithoutReads(3000);

        assertEquals(mWorkers.running(TASK), List.of());
    }

    @Test
    public void standingTasksKeepRunningDuringShortStoreOutage() {
        // During a store outage no node can replace the owner, so leases must be renewed for long
        // enough to keep standing tasks running.
        DisconnectableLog log = new DisconnectableLog(mLog);
        startOwnerWithFirstWorker(log, mWorkers.connect());

        log.disconnect();
        pass(8000);

        assertEquals(mWorkers.running(TASK), List.of("w1"));
    }

    @Test
    public void ownerThatCannotGrantLeasesDoesNotPollInATightLoop() {
        // A poll that grants no lease must still wait for a run to end; without that the owner
        // calls each worker hundreds of times a second during a store outage.
        DisconnectableLog log = new DisconnectableLog(mLog);
        startOwnerWithFirstWorker(log, mWorkers.connect());

        log.disconnect();
        pass(10_000);
        long before = pollCount();
        pass(1000);

        long perSecond = pollCount() - before;
        assertTrue(perSecond <= 10, perSecond + " polls per second of two workers");
    }

    private long pollCount() {
        return mContexts.get(0).metrics().counter("looks").getCount();
    }

    @Test
    public void lateAppendInOnePartitionDoesNotEndLeases() {
        // An append that a failed partition stores late was first sent long ago. It must not
        // replace the newer proof from other partitions, which would end leases and starts.
        boolean[] late = new boolean[1];
        SharedLog log = logWithLatePartitions(p -> late[0] && p.number() == 0);
        OwnerSession first = startOwnerWithFirstWorker(log, mWorkers.connect());

        late[0] = true;
        pass(10_000);
        assertEquals(first.workerLeaseMs(), LIMITS.leaseMs(), "another partition accepts records");
        late[0] = false;
        for (int i = 0; i < 200; i++) {
            pass(STEP_MS);
            assertEquals(
                    first.workerLeaseMs(),
                    LIMITS.leaseMs(),
                    i * STEP_MS + " ms after the late append");
        }
    }

    private static boolean containsStart(List<byte[]> records) {
        try {
            for (byte[] r : records) {
                if (JournalCodec.decode(r).orElseThrow() instanceof RunsStarted) {
                    return true;
                }
            }
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A log in which appends to some partitions are neither carried out nor answered. */
    private SharedLog logWithLatePartitions(Predicate<LogPartition> late) {
        SharedLog delegate = mLog;
        return new SharedLog() {
            @Override
            public void append(
                    LogPartition at, List<byte[]> records, Consumer<AppendResult> callback) {
                delegate.append(at, records, callback);
            }

            @Override
            public void appendAt(
                    LogPartition at, long end, byte[] record, Consumer<AppendResult> callback) {
                delegate.appendAt(at, end, record, callback);
            }

            @Override
            public void appendAs(
                    LogPartition at,
                    WriterEpoch writer,
                    List<byte[]> records,
                    Consumer<AppendResult> callback) {
                if (mLateFromFirstStart.length > 0 && containsStart(records)) {
                    mLateFromFirstStart[0] = true;
                    mLateFromFirstStart = new boolean[0];
                }
                if (late.test(at)) {
                    mTime.after(600, () -> callback.accept(new MaybeStored("no answer in time")));
                } else {
                    delegate.appendAs(at, writer, records, callback);
                }
            }

            @Override
            public void read(
                    LogPartition at, long from, PageRequest page, Consumer<ReadResult> callback) {
                delegate.read(at, from, page, callback);
            }

            @Override
            public void readNewest(LogPartition at, String after, Consumer<NewestResult> callback) {
                delegate.readNewest(at, after, callback);
            }
        };
    }

    @Test
    public void newlyJoinedWorkerIsNotTreatedAsEndedBySuccessor() {
        // A VM is listed with a new incarnation up to two seconds after the worker has joined the
        // directory. A successor must not treat the run there as ended because one VM list lacks
        // it.
        mVms = List.of(Vms.vm("vm1", ""), Vms.vm("vm2", "w2"));
        startOwnerWithFirstWorker(new DisconnectableLog(mLog), mWorkers.connect()).end();

        FakeWorkers.Connection connection = mWorkers.connect();
        connection.disconnect("w1");
        startOwner(new DisconnectableLog(mLog), connection, new Takeover(2, true, true));
        passAssertingAtMostOneRun(TASK, 1500);
    }

    @Test
    public void standingTaskRestartsElsewhereIfItsWorkerStaysUnreachable() {
        // An unanswered poll must not count as a renewal: the lease would never expire, and the
        // expired task would not be started on another worker.
        FakeWorkers.Connection connection = mWorkers.connect();
        startOwnerWithFirstWorker(mLog, connection);
        connection.reconnect("w2");
        pass(1000);

        connection.disconnect("w1");
        passAssertingAtMostOneRun(TASK, 15_000);

        assertEquals(mWorkers.running(TASK), List.of("w2"));
    }

    @Test
    public void startDelayedByTheStoreDoesNotExpireImmediately() {
        // A start whose append was first sent before a store outage has little of its lease left
        // when the append is stored. The run must not expire before its worker is polled again.
        boolean[] late = new boolean[1];
        mDirectory.add("w1", SERVICE);
        OwnerSession owner =
                startOwner(
                        logWithLatePartitions(p -> late[0]),
                        mWorkers.connect(),
                        new Takeover(1, true, true));
        pass(1000);
        owner.storeHandedOver(job(RunMode.PLAIN), outcome -> {});
        mLateFromFirstStart = late;
        pass(8600);
        assertEquals(mWorkers.running(TASK), List.of());
        late[0] = false;

        int runningSteps = 0;
        int interruptions = 0;
        for (int t = 0; t < 5000; t += STEP_MS) {
            pass(STEP_MS);
            boolean runs = !mWorkers.running(TASK).isEmpty();
            runningSteps += runs ? 1 : 0;
            interruptions += runningSteps > 0 && !runs ? 1 : 0;
        }
        assertTrue(runningSteps > 0);
        assertEquals(interruptions, 0, "steps without the task after its first");
    }
}
