package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.Test;

/** Tests which runs the scheduler starts and stops. */
public class SchedulerTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER = "00000000000000bb";

    @Test
    public void anEndIsNotAcknowledgedWhileItIsBeingStored() {
        // Guards against a lost end. If a poll during a slow store acknowledged the end and the
        // owner then crashed, the next owner would start the task again.
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        TaskRun run = owner.placeTasks().get(0);
        RunEnd end = new RunEnd(1, run.task().name(), 1, RunOutcome.DONE, "");

        PollResult first = owner.poll(worker, end);
        PollResult second = owner.poll(worker, end);

        assertEquals(first.toStore(), List.of(end));
        assertTrue(second.toStore().isEmpty());
        assertEquals(worker.storedEnds(), 0);
        assertTrue(worker.hasUnstoredEnds());
        worker.endStore();
        assertEquals(worker.storedEnds(), 1);
    }

    @Test
    public void aStartIsSentOnlyOnceItIsInTheJournal() {
        // Guards against a task that runs twice: after a crash of its owner, only the journal tells
        // the next owner of a start on a worker that is cut off.
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));

        Decisions first = owner.decide();
        Decisions second = owner.decide();
        owner.recordStarts(first.planned());

        assertEquals(first.planned().size(), 1);
        assertTrue(first.starts().isEmpty());
        assertTrue(second.starts().isEmpty());
        assertEquals(owner.decide().starts().size(), 1);
    }

    @Test
    public void aTaskOfAnUnresponsiveWorkerIsRestartedOnlyAfterItsLease() {
        // A partitioned worker keeps running; restarted at once, its task would run twice.
        OwnerHarness owner = new OwnerHarness();
        WorkerState unresponsive = owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        owner.placeTasks();
        owner.addWorker("w2", "surveys", 8);

        owner.mScheduler.pollFailed(unresponsive, owner.mNowMs);
        owner.mNowMs += OwnerHarness.LIMITS.leaseMs();
        assertTrue(owner.mScheduler.removeExpiredRuns(owner.mNowMs).isEmpty());
        assertTrue(owner.placeTasks().isEmpty());

        owner.mNowMs += OwnerHarness.LIMITS.leaseExpiryMs();
        assertEquals(owner.mScheduler.removeExpiredRuns(owner.mNowMs).size(), 1);
        List<TaskRun> again = owner.placeTasks();
        assertEquals(again.get(0).worker().id(), "w2");
        assertEquals(again.get(0).attempt(), 2);
    }

    @Test
    public void aLeaseComputedFromAnOldClockReadingDoesNotOutlastItsBound() {
        // A slow clock whose answers are lost for a minute falls behind its last reading. A lease
        // on that clock must still end within the time that owners wait for.
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        long lease = OwnerHarness.LIMITS.leaseMs();
        long atContact = worker.leaseUntilMs(owner.mNowMs, lease);

        owner.mNowMs += 60_000;
        double elapsedOnWorker = 60_000 * 0.98;
        double remaining =
                worker.leaseUntilMs(owner.mNowMs, lease) - (atContact - lease) - elapsedOnWorker;

        assertTrue(
                remaining / 0.98 <= OwnerHarness.LIMITS.leaseExpiryMs(),
                "lasts " + remaining / 0.98 + " ms");
    }

    @Test
    public void anUnansweredStartIsRepeatedOnTheSameWorker() {
        // A start may be executed seconds after its answer was lost. A start on another worker
        // would run the task twice, while a repeated start has no effect.
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        owner.addWorker("w2", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        owner.recordStarts(owner.decide().planned());
        TaskRun run = owner.decide().starts().get(0).run();
        owner.mScheduler.startAnswered(run, CommandOutcome.UNANSWERED, owner.mNowMs);
        owner.mNowMs += 300;

        Decisions decisions = owner.decide();

        assertTrue(decisions.planned().isEmpty());
        assertEquals(decisions.starts().get(0).run(), run);
        owner.mScheduler.startAnswered(run, CommandOutcome.NO_ROOM, owner.mNowMs);
        assertEquals(owner.decide().stops(), List.of(run), "the run may begin until it is stopped");
    }

    @Test
    public void aStepWaitsForAllItsDependencies() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB,
                        "surveys",
                        0,
                        OwnerHarness.step(2, 1, 1000, List.of()),
                        OwnerHarness.step(1, 1, 1000, List.of(0))));

        List<TaskRun> first = owner.placeTasks();
        owner.endRun(first.get(0), RunOutcome.DONE, 1);
        List<TaskRun> between = owner.placeTasks();
        owner.endRun(first.get(1), RunOutcome.DONE, 2);
        List<TaskRun> second = owner.placeTasks();

        assertEquals(first.size(), 2);
        assertTrue(between.isEmpty());
        assertEquals(second.size(), 1);
        assertEquals(second.get(0).task().name().step(), 1);
    }

    @Test
    public void aTaskThatUsesUpItsAttemptsFailsItsJob() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        JobProgress job =
                owner.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(2, 1, 1000, List.of())));
        List<TaskRun> runs = owner.placeTasks();
        owner.endRun(runs.get(0), RunOutcome.FAILED, 1);
        TaskRun again = owner.placeTasks().get(0);
        owner.endRun(again, RunOutcome.FAILED, 2);

        assertEquals(job.phase(), JobPhase.FAILED);
        assertTrue(owner.placeTasks().isEmpty());
        assertEquals(runs.get(1).phase(), RunPhase.STOPPING);
    }

    @Test
    public void aCancelledJobIsStoppedAndStartsNothing() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 1);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(2, 1, 1000, List.of())));
        TaskRun run = owner.placeTasks().get(0);
        owner.mRegistry.apply(new JobCancelled(JOB, OwnerHarness.WALL_MS));
        owner.mScheduler.jobEnded(JOB, owner.mNowMs);

        Decisions decisions = owner.decide();

        assertEquals(decisions.stops(), List.of(run));
        assertTrue(decisions.planned().isEmpty());
    }

    @Test
    public void aGangStartsAsAWholeOrNotAtAll() {
        // Guards against two gangs that wait for each other's capacity until both give up.
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 3);
        TaskStep gang =
                new TaskStep(
                        4,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(true, false, "", "", 0),
                        RunMode.PLAIN);
        owner.accept(OwnerHarness.definition(JOB, "surveys", 0, gang));

        assertTrue(owner.placeTasks().isEmpty());
        owner.addWorker("w2", "surveys", 1);
        List<TaskRun> members = owner.placeTasks();
        assertEquals(members.size(), 4);
        assertEquals(members.stream().map(TaskRun::attempt).distinct().count(), 1);
    }

    @Test
    public void aDrainingWorkerGetsNoTask() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        WorkerInfo i = worker.registration().entry().orElseThrow();
        owner.mScheduler.updateWorker(
                new WorkerInfo(
                        WorkerIncarnation.ofUnknownStart(i.id()),
                        i.service(),
                        i.address(),
                        i.zone(),
                        i.capacity(),
                        Set.of(),
                        "r1",
                        true),
                owner.mNowMs);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));

        assertTrue(owner.placeTasks().isEmpty());
    }

    @Test
    public void aTaskRespectsItsServiceLabelAndSpreadLimit() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        owner.addWorker("w2", "reports", 8);
        TaskStep labelled =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(false, false, "b", "", 0),
                        RunMode.PLAIN);
        TaskStep spread =
                new TaskStep(
                        2,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(false, false, "", "", 1),
                        RunMode.PLAIN);
        owner.accept(OwnerHarness.definition(JOB, "surveys", 0, labelled));
        owner.accept(OwnerHarness.definition(OTHER, "surveys", 0, spread));

        List<TaskRun> placed = owner.placeTasks();

        assertEquals(placed.size(), 1);
        assertEquals(placed.get(0).task().name().job(), OTHER);
        assertEquals(placed.get(0).worker().id(), "w1");
    }

    @Test
    public void aWorkerIsNeverOvercommitted() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 4);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(9, 3, 1000, List.of())));

        assertEquals(owner.placeTasks().size(), 1);
        assertEquals(worker.free().milliProcessors(), OwnerHarness.CORE);
        worker.runs().forEach(r -> r.requestStop("test", owner.mNowMs));
        assertTrue(owner.placeTasks().isEmpty(), "a stopping run still holds its capacity");
    }

    @Test
    public void aWorkerThatFailsTwoJobsIsPaused() {
        // Guards against a faulty worker that uses up the attempts of one task after the other.
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 1);
        for (String id : List.of(JOB, OTHER)) {
            owner.accept(
                    OwnerHarness.definition(
                            id, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        }
        TaskRun first = owner.placeTasks().get(0);
        owner.endRun(first, RunOutcome.FAILED, 1);
        TaskRun second = owner.placeTasks().get(0);
        long sequence = 2;
        if (second.task().name().job().equals(first.task().name().job())) {
            owner.endRun(second, RunOutcome.FAILED, sequence++);
            second = owner.placeTasks().get(0);
        }
        owner.endRun(second, RunOutcome.FAILED, sequence);

        assertTrue(owner.placeTasks().isEmpty());
        assertNotEquals(first.task().name().job(), second.task().name().job());
    }

    @Test
    public void aStalledRunIsRestartedOnAnotherWorker() {
        // Guards against a worker that answers polls but makes no progress.
        OwnerHarness owner = new OwnerHarness();
        WorkerState stalled = owner.addWorker("w1", "surveys", 1);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        TaskRun run = owner.placeTasks().get(0);
        owner.addWorker("w2", "surveys", 1);
        RunStatus status = new RunStatus(run.task().name(), 1, "", 10, 0);

        owner.pollListing(stalled, List.of(status), List.of());
        assertEquals(run.phase(), RunPhase.RUNNING);
        owner.mNowMs += 2500;
        owner.pollListing(stalled, List.of(status), List.of());

        assertEquals(run.phase(), RunPhase.STOPPING);
        assertTrue(owner.placeTasks().isEmpty(), "the task restarts only after its run has ended");
        owner.endRun(run, RunOutcome.STOPPED, 1);
        assertEquals(owner.placeTasks().get(0).worker().id(), "w2");
    }

    /** Guards against runs that are stopped as stalled since a slow store delayed their start. */
    @Test
    public void aRunWhoseStartWasRecordedLateIsNotStalled() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 1);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        TaskRun run = owner.decide().planned().get(0);
        owner.addWorker("w2", "surveys", 1);
        owner.mNowMs += 2500;
        owner.recordStarts(List.of(run));
        owner.decide();
        run.recordStartSent(owner.mNowMs);
        owner.mScheduler.startAnswered(run, CommandOutcome.DONE, owner.mNowMs);
        RunStatus status = new RunStatus(run.task().name(), 1, "", 0, 0);

        owner.pollListing(worker, List.of(status), List.of());
        assertEquals(run.phase(), RunPhase.RUNNING, run.stopReason());
        owner.mNowMs += 1700;
        owner.pollListing(worker, List.of(status), List.of());
        assertEquals(run.phase(), RunPhase.RUNNING, run.stopReason());
        owner.mNowMs += 200;
        owner.pollListing(worker, List.of(status), List.of());
        assertEquals(run.phase(), RunPhase.STOPPING);
    }

    @Test
    public void aRunMissingOnItsWorkerIsRestarted() {
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 1);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        owner.placeTasks();
        owner.mNowMs++;

        PollResult result = owner.pollListing(worker, List.of(), List.of());

        assertEquals(result.lost().size(), 1);
        assertEquals(owner.placeTasks().get(0).attempt(), 2);
    }

    @Test
    public void aStandingTaskWithoutCapacityPreemptsABatchTask() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 2);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 1, OwnerHarness.step(2, 1, 9000, List.of())));
        List<TaskRun> batch = owner.placeTasks();
        owner.accept(OwnerHarness.definition(OTHER, "surveys", 0, OwnerHarness.standing(1, 1, 1)));

        owner.placeTasks();
        assertFalse(batch.stream().anyMatch(r -> r.phase() == RunPhase.STOPPING));
        owner.mNowMs += 500;
        owner.decide();

        assertEquals(batch.stream().filter(r -> r.phase() == RunPhase.STOPPING).count(), 1);
    }

    @Test
    public void fillingTasksAreThrottledWhileAServingTaskExceedsItsTarget() {
        // Guards against high latency of a serving task caused by tasks that use spare capacity.
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        RunMode serves = new RunMode(false, true, false, false, 100, 1);
        RunMode fills = new RunMode(false, false, false, true, 0, 0);
        TaskStep serving =
                new TaskStep(
                        1,
                        Resources.of(1, 1, 0),
                        500,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        serves);
        TaskStep filling =
                new TaskStep(
                        1,
                        Resources.of(4, 1, 0),
                        900,
                        List.of(),
                        PlacementConstraints.ANYWHERE,
                        fills);
        owner.accept(OwnerHarness.definition(JOB, "surveys", 0, serving));
        owner.accept(OwnerHarness.definition(OTHER, "surveys", 1, filling));
        List<TaskRun> runs = owner.placeTasks();
        RunStatus tail = new RunStatus(runs.get(0).task().name(), 1, "", 100, 150);
        RunStatus work = new RunStatus(runs.get(1).task().name(), 1, "", 20, 4000);

        owner.pollListing(worker, List.of(tail, work), List.of());
        List<Decisions.Pace> paces = owner.decide().paces();

        assertEquals(paces.size(), 1);
        assertEquals(paces.get(0).run(), runs.get(1));
        assertEquals(paces.get(0).percent(), 50);
    }

    private static void drain(OwnerHarness owner, WorkerState worker) {
        WorkerInfo i = worker.registration().entry().orElseThrow();
        owner.mScheduler.updateWorker(
                new WorkerInfo(
                        i.incarnation(),
                        i.service(),
                        i.address(),
                        i.zone(),
                        i.capacity(),
                        i.labels(),
                        i.rack(),
                        true),
                owner.mNowMs);
    }

    @Test
    public void anUnansweredStartIsNotRepeatedOnAWorkerThatDrains() {
        // Guards against a task that begins on a worker long after the worker began to leave.
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        owner.recordStarts(owner.decide().planned());
        TaskRun run = owner.decide().starts().get(0).run();
        owner.mScheduler.startAnswered(run, CommandOutcome.UNANSWERED, owner.mNowMs);
        drain(owner, worker);
        owner.mNowMs += 300;

        Decisions decisions = owner.decide();

        assertTrue(decisions.starts().isEmpty());
        assertEquals(decisions.stops(), List.of(run), "the run may begin until it is stopped");
    }

    @Test
    public void aStartThatWasNotSentMovesToAnotherWorkerWhenItsWorkerDrains() {
        // Guards against a start on a leaving worker that waited for its record or the link.
        OwnerHarness owner = new OwnerHarness();
        WorkerState worker = owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        List<TaskRun> planned = owner.decide().planned();
        owner.addWorker("w2", "surveys", 8);
        drain(owner, worker);
        owner.recordStarts(planned);

        Decisions decisions = owner.decide();

        assertTrue(decisions.starts().isEmpty());
        assertEquals(decisions.planned().get(0).worker().id(), "w2");
    }
}
