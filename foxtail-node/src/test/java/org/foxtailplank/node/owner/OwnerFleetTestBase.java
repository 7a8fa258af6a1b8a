package org.foxtailplank.node.owner;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.QueuePolicy;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.Timetable;
import org.foxtailplank.node.FakeSharedLog;
import org.foxtailplank.node.FakeTime;
import org.foxtailplank.node.OperatorFollower;
import org.foxtailplank.node.journal.JournalCodec;
import org.foxtailplank.node.log.NodeLog;
import org.foxtailplank.port.ChangeFeed;
import org.foxtailplank.port.FleetConfig;
import org.foxtailplank.port.OperatorChange;
import org.foxtailplank.port.RouteSettings;
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.port.VmClient;
import org.foxtailplank.port.WavePublisher;
import org.foxtailplank.port.WorkerClient;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.BeforeMethod;

/** Runs real owners with in-memory workers, a directory and a journal on a test's clock. */
abstract class OwnerFleetTestBase {
    static final String SERVICE = "reconciliation";
    static final String JOB = "00000000000000aa";
    static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    static final ScheduleLimits LIMITS = new ScheduleLimits(6000, 250, 200);
    static final long STEP_MS = 10;

    FakeTime mTime;
    FakeSharedLog mLog;
    FakeWorkers mWorkers;
    FakeDirectory mDirectory;
    List<OwnerContext> mContexts;
    List<VmClient.VmInfo> mVms;

    /** Lists that are returned before {@link #mVms}. */
    Deque<List<VmClient.VmInfo>> mNextLists;

    List<RouteSettings> mRoutes = List.of();
    boolean mForecastBursts;

    @BeforeMethod
    public void setUpFleet() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mWorkers = new FakeWorkers(mTime);
        mDirectory = new FakeDirectory();
        mContexts = new ArrayList<>();
        mForecastBursts = false;
        mVms = List.of(Vms.vm("vm1", "w1"), Vms.vm("vm2", "w2"));
        mNextLists = new ArrayDeque<>();
    }

    /** Returns the same VMs in every list but the first ones. */
    final class Vms implements VmClient {
        @Override
        public void list(Consumer<Optional<List<VmInfo>>> callback) {
            callback.accept(Optional.of(mNextLists.isEmpty() ? mVms : mNextLists.poll()));
        }

        static VmInfo vm(String id, String worker) {
            return new VmInfo(id, SERVICE, VmPhase.UP, worker, Resources.of(8, 1L << 40, 0));
        }

        @Override
        public void move(String vm, String pool, Holder holder, Consumer<VmOutcome> callback) {
            callback.accept(VmOutcome.NOT_DONE);
        }

        @Override
        public void reboot(String vm, long wave, Holder holder, Consumer<VmOutcome> callback) {
            callback.accept(VmOutcome.NOT_DONE);
        }
    }

    OwnerSession startOwner(SharedLog log, WorkerClient connection, Takeover takeover) {
        ServiceConfig service = new ServiceConfig(SERVICE, true, false);
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, mRoutes, List.of(service), 1000));
        ChangeFeed<OperatorChange> operatorChanges =
                new FixedFeed<>(List.of(new ChangeFeed.Item<>("config", Optional.of(config))));
        OperatorFollower operator =
                new OperatorFollower(operatorChanges, mTime, mTime, NodeLog.silent(mTime));
        operator.refresh();
        WavePublisher wavePublisher =
                (number, completed, callback) -> callback.accept(new SharedLog.Stored(0, 1));
        OwnerContext.Platform platform =
                new OwnerContext.Platform(mDirectory, connection, new Vms(), null, wavePublisher);
        OwnerSession[] session = new OwnerSession[1];
        OwnerContext context =
                FakeOwnerContext.of(
                        mTime,
                        log,
                        true,
                        LIMITS,
                        operator,
                        platform,
                        (record, job) -> session[0].applyRecord(record, job));
        if (mForecastBursts) {
            context =
                    FakeOwnerContext.withForecast(
                            context, (record, job) -> session[0].applyRecord(record, job));
        }
        session[0] = new OwnerSession(context, takeover, () -> {});
        mContexts.add(context);
        session[0].start();
        return session[0];
    }

    /** A job with one task that runs until it is cancelled. */
    static byte[] standingJob() {
        return job(new RunMode(false, true, false, false, 0, 0));
    }

    static byte[] job(RunMode mode) {
        return job(JOB, mode);
    }

    static byte[] job(String id, RunMode mode) {
        return job(id, mode, 1);
    }

    static byte[] job(String id, RunMode mode, long acceptedMs) {
        return job(id, mode, acceptedMs, 1);
    }

    /** A job whose task needs all cores of a worker of {@link FakeDirectory}. */
    static byte[] jobOfAWholeWorker(String id) {
        return job(id, RunMode.PLAIN, 1, 8);
    }

    private static byte[] job(String id, RunMode mode, long acceptedMs, int cores) {
        TaskStep step =
                new TaskStep(
                        1,
                        Resources.of(cores, 1, 0),
                        500,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        mode);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        JobDefinition definition =
                new JobDefinition(
                        id,
                        "queue",
                        SERVICE,
                        "text",
                        List.of(step),
                        Timetable.AT_ONCE,
                        policy,
                        acceptedMs,
                        0,
                        "");
        return JournalCodec.encode(new JobAccepted(definition));
    }

    /** Lets time pass and asserts at each step that a task runs at most once. */
    void passAssertingAtMostOneRun(TaskName task, long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            pass(STEP_MS);
            List<String> workers = mWorkers.running(task);
            assertTrue(workers.size() <= 1, "after " + t + " ms on " + workers);
        }
    }

    void pass(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mTime.advance(STEP_MS);
            mContexts.forEach(p -> p.reader().refresh(read -> {}));
            mLog.deliverAnswers();
        }
    }
}
