package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.Timetable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a job with many runs of its steps costs only what is due and not done. */
public class RecurringJobTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER = "00000000000000bb";
    private static final int MINUTES_OF_A_YEAR = 525_600;
    private static final long MINUTE_MS = 60_000;

    private OwnerHarness mOwner;
    private long mSequence;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mSequence = 0;
    }

    private JobProgress accept(int tasks, Timetable timetable) {
        JobDefinition plain =
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(tasks, 1, 1000, List.of()));
        return mOwner.accept(
                new JobDefinition(
                        plain.id(),
                        plain.route(),
                        plain.service(),
                        plain.text(),
                        plain.steps(),
                        timetable,
                        plain.policy(),
                        plain.acceptedMs(),
                        plain.configVersion(),
                        plain.organisation()));
    }

    private ActiveJob job() {
        return mOwner.mScheduler.runs().job(JOB).orElseThrow();
    }

    private void finish(TaskRun run) {
        mOwner.endRun(run, RunOutcome.DONE, ++mSequence);
    }

    @Test
    public void aYearOfMinutesHoldsOnlyTheRunThatIsDue() {
        // Guards against an owner that runs out of memory on a job with very many runs.
        mOwner.addWorker("w1", "surveys", 8);
        accept(1, new Timetable(OwnerHarness.WALL_MS, MINUTE_MS, MINUTES_OF_A_YEAR));

        TaskRun first = mOwner.placeTasks().get(0);
        assertEquals(job().runs().size(), 1);
        finish(first);
        mOwner.decide();
        assertEquals(job().runs().size(), 0);
        mOwner.mNowMs += MINUTE_MS;
        List<TaskRun> second = mOwner.placeTasks();

        assertEquals(second.size(), 1);
        assertEquals(second.get(0).task().name().run(), 1);
        assertEquals(job().runs().size(), 1);
    }

    @Test
    public void overdueRunsStartOldestFirstBesideOtherJobs() {
        // Guards against a job with many overdue runs that fills the memory or holds up others.
        WorkerState worker = mOwner.addWorker("w1", "surveys", 4);
        accept(1, new Timetable(OwnerHarness.WALL_MS - 600_000, 40, 15_000));
        int largest = 0;
        int expected = 0;
        for (int i = 0; i < 200; i++) {
            for (TaskRun r : mOwner.placeTasks()) {
                assertEquals(r.task().name().run(), expected++);
            }
            largest = Math.max(largest, job().runs().size());
            List.copyOf(worker.runs()).forEach(this::finish);
        }
        mOwner.accept(
                OwnerHarness.definition(
                        OTHER, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        List<String> placed = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            mOwner.placeTasks().forEach(r -> placed.add(r.task().name().job()));
            List.copyOf(worker.runs()).forEach(this::finish);
        }

        assertEquals(expected, 800);
        assertTrue(largest <= 100, largest + " runs are open");
        assertTrue(placed.contains(OTHER), "the other job isn't served");
    }

    @Test
    public void aTimetableThatStartsAtOnceRunsToItsEnd() {
        // Guards against runs that are never opened, as the job has no start time.
        WorkerState worker = mOwner.addWorker("w1", "surveys", 64);
        JobProgress progress = accept(3, new Timetable(0, 0, 500));
        for (int i = 0; i < 100 && !progress.phase().isFinal(); i++) {
            mOwner.placeTasks();
            List.copyOf(worker.runs()).forEach(this::finish);
        }

        assertEquals(progress.phase(), JobPhase.COMPLETED);
    }

    @Test
    public void noRunStartsBeforeItIsDue() {
        // Guards against a run of a timetable without a start time that starts too early.
        mOwner.addWorker("w1", "surveys", 8);
        long periodMs = 2 * OwnerHarness.WALL_MS;
        accept(1, new Timetable(0, periodMs, 2));

        assertEquals(mOwner.placeTasks().size(), 1);
        assertTrue(mOwner.placeTasks().isEmpty());
    }

    @Test
    public void aNewOwnerStartsNoRunAgainThatIsDone() {
        // Guards against done runs that a new owner opens and starts a second time.
        WorkerState worker = mOwner.addWorker("w1", "surveys", 1);
        accept(1, new Timetable(OwnerHarness.WALL_MS - 600_000, 40, 15_000));
        for (int i = 0; i < 5; i++) {
            mOwner.placeTasks();
            List.copyOf(worker.runs()).forEach(this::finish);
        }
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mNowMs = mOwner.mNowMs;
        next.addWorker("w1", "surveys", 1);
        next.mRegistry
                .jobs()
                .forEach(j -> next.mScheduler.addInheritedJob(j, w -> true, next.mNowMs));

        assertEquals(next.placeTasks().get(0).task().name().run(), 5);
    }

    @Test
    public void aRunOfADoneTaskThatAWorkerStillListsIsStopped() {
        // Guards against a task that runs on, or starts again, after its run of the steps closed.
        WorkerState worker = mOwner.addWorker("w1", "surveys", 1);
        JobProgress progress =
                accept(1, new Timetable(OwnerHarness.WALL_MS, MINUTE_MS, MINUTES_OF_A_YEAR));
        TaskRun done = mOwner.placeTasks().get(0);
        finish(done);
        mOwner.decide();
        assertTrue(progress.isRunDone(0));

        RunStatus listed = new RunStatus(done.task().name(), 2, "", 10, 0);
        mOwner.pollListing(worker, List.of(listed), List.of());
        Decisions decisions = mOwner.decide();

        assertEquals(decisions.stops().size(), 1);
        assertTrue(decisions.planned().isEmpty());
        RunEnd stopped = new RunEnd(9, done.task().name(), 2, RunOutcome.STOPPED, "");
        mOwner.poll(worker, stopped);
        assertTrue(mOwner.decide().planned().isEmpty());
        assertEquals(job().runs().size(), 0);
    }

    @Test
    public void theDemandCountsOverdueRunsThatAreNotOpen() {
        // Guards against a pool that is sized for the open runs of a long backlog only.
        accept(1, new Timetable(OwnerHarness.WALL_MS - 600_000, 40, 15_000));
        mOwner.decide();
        PoolDemand demand = new PoolDemand(mOwner.mScheduler);

        double late = demand.lateMilliCores("surveys", OrganisationCaps.NONE, OwnerHarness.WALL_MS);

        // Each run is one second of work on a core, spread over three seconds.
        assertEquals(late, 15_000 * OwnerHarness.CORE / 3.0, OwnerHarness.CORE);
        assertFalse(job().runs().size() > 100);
    }
}
