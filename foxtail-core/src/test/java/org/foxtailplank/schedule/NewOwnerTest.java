package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.testng.annotations.Test;

/** Tests how a new owner handles the runs that a previous owner started. */
public class NewOwnerTest {
    private static final String JOB = "00000000000000aa";

    @Test
    public void aNewOwnerWaitsForAWorkerThatMayRunTheTask() {
        // Guards against a task that runs twice: its worker is cut off when the owner crashes, and
        // keeps running until its lease expires.
        OwnerHarness first = new OwnerHarness();
        first.addWorker("w1", "surveys", 8);
        JobProgress job =
                first.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        first.placeTasks();

        OwnerHarness second = new OwnerHarness(first.mRegistry);
        second.addWorker("w2", "surveys", 8);
        second.mScheduler.addInheritedJob(job, w -> false, second.mNowMs);

        assertTrue(second.placeTasks().isEmpty());
        second.mNowMs += OwnerHarness.LIMITS.leaseMs();
        assertTrue(second.mScheduler.removeExpiredRuns(second.mNowMs).isEmpty());
        second.mNowMs += OwnerHarness.LIMITS.leaseExpiryMs() - OwnerHarness.LIMITS.leaseMs() + 1;
        assertEquals(second.mScheduler.removeExpiredRuns(second.mNowMs).size(), 1);
        List<TaskRun> again = second.placeTasks();
        assertEquals(again.size(), 1);
        assertEquals(again.get(0).attempt(), 2);
    }

    /** Guards against tasks that wait for a second poll after their owner died before sending. */
    @Test
    public void aNewOwnerStartsATaskThatTheFirstAnswerDoesNotList() {
        OwnerHarness first = new OwnerHarness();
        first.addWorker("w1", "surveys", 8);
        JobProgress job =
                first.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        first.recordStarts(first.decide().planned());

        OwnerHarness second = new OwnerHarness(first.mRegistry);
        second.mScheduler.updateWorker(OwnerHarness.info("w1", "surveys", 8), second.mNowMs);
        second.mScheduler.addInheritedJob(job, w -> false, second.mNowMs);
        assertTrue(second.placeTasks().isEmpty());
        second.pollListing(second.mScheduler.worker("w1").get(), List.of(), List.of());

        assertEquals(second.placeTasks().size(), 1);
    }

    @Test
    public void aNewOwnerRestartsTasksOfAnEndedIncarnationAtOnce() {
        // If the list of VMs shows that the incarnation has ended, there is no lease to wait for.
        OwnerHarness first = new OwnerHarness();
        first.addWorker("w1", "surveys", 8);
        JobProgress job =
                first.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        first.placeTasks();

        OwnerHarness second = new OwnerHarness(first.mRegistry);
        second.addWorker("w2", "surveys", 8);
        second.mScheduler.addInheritedJob(job, w -> w.id().equals("w1"), second.mNowMs);

        assertEquals(second.placeTasks().size(), 1);
    }

    @Test
    public void aNewOwnerDoesNotInterruptRunningTasks() {
        // Guards against an interruption of standing tasks by a change of owner.
        OwnerHarness first = new OwnerHarness();
        first.addWorker("w1", "surveys", 8);
        JobProgress job =
                first.accept(
                        OwnerHarness.definition(JOB, "surveys", 0, OwnerHarness.standing(2, 1, 1)));
        List<TaskRun> runs = first.placeTasks();

        OwnerHarness second = new OwnerHarness(first.mRegistry);
        second.mScheduler.updateWorker(OwnerHarness.info("w1", "surveys", 8), second.mNowMs);
        WorkerState worker = second.mScheduler.worker("w1").get();
        second.mScheduler.addInheritedJob(job, w -> false, second.mNowMs);
        second.mNowMs++;
        second.pollListing(
                worker,
                List.of(
                        new RunStatus(runs.get(0).task().name(), 1, "", 100, 0),
                        new RunStatus(runs.get(1).task().name(), 1, "", 100, 0)),
                List.of());

        Decisions decisions = second.decide();
        assertTrue(decisions.planned().isEmpty());
        assertTrue(decisions.stops().isEmpty());
        assertEquals(worker.runs().size(), 2);
    }

    @Test
    public void aFailureThatIsListedTwiceCountsOnce() {
        // Guards against a failure that counts twice because the previous owner stored it but
        // crashed before acknowledging it.
        OwnerHarness first = new OwnerHarness();
        WorkerState worker = first.addWorker("w1", "surveys", 8);
        JobProgress job =
                first.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        TaskRun run = first.placeTasks().get(0);
        first.endRun(run, RunOutcome.FAILED, 1);

        OwnerHarness second = new OwnerHarness(first.mRegistry);
        second.mScheduler.addInheritedJob(job, w -> false, second.mNowMs);
        second.mScheduler.updateWorker(worker.registration().entry().orElseThrow(), second.mNowMs);
        RunEnd listed = new RunEnd(1, run.task().name(), 1, RunOutcome.FAILED, "");
        second.pollListing(second.mScheduler.worker("w1").get(), List.of(), List.of(listed));

        assertEquals(second.placeTasks().size(), 1);
        assertEquals(job.phase(), JobPhase.RUNNING);
    }

    /** Guards against polls that build a large job anew for each run that is being stopped. */
    @Test
    public void aCancelledJobWhoseRunsAreListedIsBuiltOnce() {
        OwnerHarness owner = new OwnerHarness();
        JobProgress job =
                owner.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(10_000, 1, 1000, List.of())));
        owner.mRegistry.apply(new JobCancelled(JOB, OwnerHarness.WALL_MS));
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < 100; i++) {
            owner.mScheduler.addListedEndedJob(job);
        }

        long allocated = threads.getCurrentThreadAllocatedBytes() - before;
        assertTrue(allocated < 1 << 20, allocated + " bytes");
    }

    /** Guards against a second start of a task whose job is read after its recorded start. */
    @Test
    public void aJobThatIsLearntLateBringsItsRecordedStarts() {
        OwnerHarness first = new OwnerHarness();
        first.addWorker("w1", "surveys", 8);
        JobDefinition definition =
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of()));
        first.accept(definition);
        TaskRun run = first.placeTasks().get(0);

        OwnerHarness second = new OwnerHarness();
        second.addWorker("w2", "surveys", 8);
        second.mRegistry.apply(new RunsStarted(List.of(run.startRecord())));
        second.accept(definition);

        assertTrue(second.placeTasks().isEmpty());
        second.mNowMs += OwnerHarness.LIMITS.leaseExpiryMs() + 1;
        assertEquals(second.mScheduler.removeExpiredRuns(second.mNowMs).size(), 1);
        assertEquals(second.placeTasks().get(0).attempt(), 2);
    }
}
