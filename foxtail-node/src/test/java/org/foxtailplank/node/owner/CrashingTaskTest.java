package org.foxtailplank.node.owner;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobPhase;
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
import org.foxtailplank.port.ServiceConfig;
import org.foxtailplank.port.SharedLog;
import org.foxtailplank.schedule.ScheduleLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a task that crashes each worker that starts it, and tasks that run beside it. */
public class CrashingTaskTest {
    /** Starts of one task that the platform allows if each of them crashes a worker. */
    private static final int MAX_STARTS = 5;

    private static final int VMS = 6;
    private static final long STEP_MS = 10;
    private static final String CRASHING = "00000000000000aa";
    private static final TaskName CRASHING_TASK = new TaskName(CRASHING, 0, 0, 0);

    private FakeTime mTime;
    private FakeSharedLog mLog;
    private CrashingFleet mFleet;
    private List<OwnerContext> mContexts;
    private OwnerSession mOwner;
    private int mHealthyJobs;

    @BeforeMethod
    public void setUp() {
        mTime = new FakeTime();
        mLog = new FakeSharedLog();
        mFleet = new CrashingFleet(mTime, VMS);
        mContexts = new ArrayList<>();
        mHealthyJobs = 0;
        startOwner(1);
    }

    private void startOwner(long token) {
        ServiceConfig service = new ServiceConfig(CrashingFleet.SERVICE, true, false);
        OperatorChange config =
                new OperatorChange.NewConfig(new FleetConfig(1, List.of(), List.of(service), 1000));
        ChangeFeed<OperatorChange> operatorChanges =
                new FixedFeed<>(List.of(new ChangeFeed.Item<>("config", Optional.of(config))));
        OperatorFollower operator =
                new OperatorFollower(operatorChanges, mTime, mTime, NodeLog.silent(mTime));
        operator.refresh();
        OwnerContext.Platform platform =
                new OwnerContext.Platform(
                        mFleet.directory(),
                        mFleet,
                        mFleet,
                        null,
                        (number, completed, callback) ->
                                callback.accept(new SharedLog.Stored(0, 1)));
        OwnerSession[] session = new OwnerSession[1];
        OwnerContext context =
                FakeOwnerContext.of(
                        mTime,
                        mLog,
                        true,
                        new ScheduleLimits(6000, 250, 200),
                        operator,
                        platform,
                        (record, job) -> session[0].applyRecord(record, job));
        session[0] = new OwnerSession(context, new Takeover(token, true, true), () -> {});
        mContexts.add(context);
        mOwner = session[0];
        session[0].start();
        pass(200);
    }

    private void submit(String id, RunMode mode, int tasks) {
        TaskStep step =
                new TaskStep(
                        tasks,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        mode);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        JobDefinition definition =
                new JobDefinition(
                        id,
                        "queue",
                        CrashingFleet.SERVICE,
                        "text",
                        List.of(step),
                        Timetable.AT_ONCE,
                        policy,
                        mTime.wallMs(),
                        0,
                        "");
        mOwner.storeHandedOver(JournalCodec.encode(new JobAccepted(definition)), outcome -> {});
    }

    private void submitHealthyJob() {
        submit(healthyJob(mHealthyJobs), RunMode.PLAIN, 6);
        mHealthyJobs++;
    }

    private static String healthyJob(int number) {
        return String.format("%016x", 0xbb00 + number);
    }

    private void pass(long ms) {
        for (long t = 0; t < ms; t += STEP_MS) {
            mTime.advance(STEP_MS);
            mContexts.forEach(c -> c.reader().refresh(read -> {}));
            mLog.deliverAnswers();
        }
    }

    private JobPhase phase(String job) {
        OwnerContext newest = mContexts.get(mContexts.size() - 1);
        return newest.reader().registry().job(job).orElseThrow().phase();
    }

    private void assertHealthyJobsCompleted() {
        for (int j = 0; j < mHealthyJobs; j++) {
            assertEquals(phase(healthyJob(j)), JobPhase.COMPLETED, "job " + j);
        }
    }

    @DataProvider
    public Object[][] crashDelays() {
        return new Object[][] {{-1L}, {0L}, {10L}, {50L}, {500L}};
    }

    /**
     * Guards against a task that is started again for ever although each start crashes a worker.
     */
    @Test(dataProvider = "crashDelays")
    public void taskThatCrashesItsWorkersIsGivenUp(long delayMs) {
        mFleet.crashOnStart(CRASHING_TASK, delayMs);
        submit(CRASHING, RunMode.PLAIN, 4);
        for (int i = 0; i < 20; i++) {
            submitHealthyJob();
            pass(1000);
        }
        pass(20_000);

        assertTrue(
                mFleet.starts(CRASHING_TASK).size() <= MAX_STARTS,
                "started on " + mFleet.starts(CRASHING_TASK));
        assertEquals(phase(CRASHING), JobPhase.FAILED);
        assertHealthyJobsCompleted();
    }

    /** Guards against a count of crashes that begins anew with each owner. */
    @Test(dataProvider = "crashDelays")
    public void crashesAreCountedAcrossOwners(long delayMs) {
        mFleet.crashOnStart(CRASHING_TASK, delayMs);
        submit(CRASHING, RunMode.PLAIN, 1);
        int token = 1;
        int seen = 0;
        for (int i = 0; i < 6000; i++) {
            pass(STEP_MS);
            if (mFleet.starts(CRASHING_TASK).size() > seen) {
                seen = mFleet.starts(CRASHING_TASK).size();
                pass(token % 2 == 0 ? 20 : 700);
                mOwner.end();
                startOwner(++token);
            }
        }

        assertTrue(seen <= MAX_STARTS, "started on " + mFleet.starts(CRASHING_TASK));
        assertEquals(phase(CRASHING), JobPhase.FAILED);
    }

    /** Guards against a standing task, whose failures are not limited, that crashes for ever. */
    @Test
    public void standingTaskThatCrashesItsWorkersIsGivenUp() {
        mFleet.crashOnStart(CRASHING_TASK, 10);
        submit(CRASHING, new RunMode(false, true, false, false, 0, 0), 1);
        pass(60_000);

        assertTrue(
                mFleet.starts(CRASHING_TASK).size() <= MAX_STARTS,
                "started on " + mFleet.starts(CRASHING_TASK));
        assertEquals(phase(CRASHING), JobPhase.FAILED);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {41L}};
    }

    /** Guards against giving up jobs that merely ran on workers that crash for other reasons. */
    @Test(dataProvider = "seeds")
    public void jobsOnWorkersThatCrashByThemselvesAreNotGivenUp(long seed) {
        Random random = new Random(seed);
        int token = 1;
        for (int i = 0; i < 40; i++) {
            submitHealthyJob();
            submitHealthyJob();
            pass(random.nextInt(1000));
            mFleet.crash(random.nextInt(VMS));
            pass(random.nextInt(500));
            mFleet.crash(random.nextInt(VMS));
            if (i % 8 == 7) {
                mOwner.end();
                startOwner(++token);
            }
        }
        for (int j = 0; j < mHealthyJobs; j++) {
            assertNotEquals(phase(healthyJob(j)), JobPhase.FAILED, "job " + j);
        }
        pass(30_000);

        assertHealthyJobsCompleted();
        int crashes = 0;
        for (int j = 0; j < mHealthyJobs; j++) {
            crashes += mFleet.crashesUnder(healthyJob(j));
        }
        assertTrue(
                crashes > mHealthyJobs / 2, "only " + crashes + " tasks ended with their workers");
    }
}
