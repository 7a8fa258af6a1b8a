package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.definition;
import static org.foxtailplank.schedule.OwnerHarness.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.RunOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a job which has ended takes no place in the selection and in the demand. */
public class EndedJobTest {
    private static final long LARGE_MS = 2000;

    private OwnerHarness mOwner;
    private PoolDemand mDemand;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mDemand = new PoolDemand(mOwner.mScheduler);
        mOwner.addWorker("w1", "surveys", 4);
        mOwner.accept(definition("large", "surveys", 0, step(8, 1, LARGE_MS, List.of())));
        mOwner.placeTasks();
        mOwner.accept(definition("small", "surveys", 0, step(4, 1, 1000, List.of())));
    }

    private double demand() {
        return mDemand.onTimeMilliCores("surveys", OrganisationCaps.NONE, OwnerHarness.WALL_MS);
    }

    private void cancel() {
        mOwner.mRegistry.apply(new JobCancelled("large", OwnerHarness.WALL_MS));
        mOwner.mScheduler.jobEnded("large", mOwner.mNowMs);
    }

    /** Records failures of a task that reach the job's limit, as an earlier owner may do. */
    private void recordFailures() {
        ActiveTask task =
                mOwner.mScheduler
                        .runs()
                        .job("large")
                        .get()
                        .runs()
                        .get(0)
                        .steps()
                        .get(0)
                        .tasks()
                        .get(0);
        List<EndedRun> ends =
                List.of(
                        new EndedRun(task.name(), 1, RunOutcome.FAILED, OwnerHarness.WALL_MS),
                        new EndedRun(task.name(), 2, RunOutcome.FAILED, OwnerHarness.WALL_MS));
        mOwner.mRegistry.apply(new RunsEnded(ends));
        ends.forEach(e -> mOwner.mScheduler.runEndRecorded(e.task(), e.outcome(), mOwner.mNowMs));
    }

    private void assertOnlyTheOtherJobCounts() {
        assertEquals(demand(), 4 * OwnerHarness.CORE, 1e-6);
        mOwner.placeTasks();
        WorkerState worker = mOwner.mScheduler.worker("w1").get();
        for (TaskRun r : List.copyOf(worker.runs())) {
            assertEquals(r.phase(), RunPhase.STOPPING);
            mOwner.endRun(r, RunOutcome.STOPPED, r.task().name().index() + 1);
        }
        List<TaskRun> next = mOwner.placeTasks();

        assertEquals(next.size(), 4);
        assertTrue(next.stream().allMatch(r -> r.task().name().job().equals("small")));
    }

    /** Guards against tasks that wait behind a job which was cancelled. */
    @Test
    public void aCancelledJobFreesItsPlaceAtOnce() {
        double before = demand();
        cancel();

        assertTrue(before > 4 * OwnerHarness.CORE, "demand before: " + before);
        assertOnlyTheOtherJobCounts();
    }

    /** Guards against a job that runs on although failures which others recorded have ended it. */
    @Test
    public void aJobThatRecordedFailuresEndedFreesItsPlaceAtOnce() {
        recordFailures();

        assertOnlyTheOtherJobCounts();
    }
}
