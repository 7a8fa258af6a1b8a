package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.WorkerInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which tasks are blamed for a crash of a worker, and where they start next. */
public class CrashTrackerTest {
    private static final String JOB = "00000000000000aa";
    private static final String OTHER = "00000000000000bb";

    private static final long MAX_BACKOFF_MS = 2000;

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
    }

    private static JobDefinition job(String id, int tasks, int cores) {
        return OwnerHarness.definition(
                id, "surveys", 0, OwnerHarness.step(tasks, cores, 1000, List.of()));
    }

    private List<TaskRun> start(JobDefinition definition) {
        mOwner.accept(definition);
        return mOwner.placeTasks();
    }

    /** Crashes the worker of the job's only run and starts the task again. */
    private TaskRun crashAndRestart(TaskRun run) {
        mOwner.crash(run.worker().id());
        mOwner.mNowMs += run.task().crashes().backoffMs();
        return mOwner.placeTasks().get(0);
    }

    /** Starts what can start, and returns the run of a job. */
    private TaskRun startOf(String job) {
        List<TaskRun> started = mOwner.placeTasks();
        return started.stream().filter(r -> r.task().name().job().equals(job)).findFirst().get();
    }

    private void crashAfter(long ms, String worker) {
        mOwner.mNowMs += ms;
        mOwner.crash(worker);
    }

    @Test
    public void aTaskThatWasJustStartedIsSuspected() {
        mOwner.addWorker("w1", "surveys", 8);
        TaskRun run = start(job(JOB, 1, 1)).get(0);

        WorkerEnd end = mOwner.crash("w1");

        assertEquals(end.runs(), List.of(run));
        assertEquals(end.suspects().size(), 1);
        assertEquals(end.suspects().get(0).crashes().crashes(), 1);
        assertTrue(end.suspects().get(0).crashes().evidence() > 0);
    }

    /** Guards against an immediate crash, within the clock's resolution, that isn't counted. */
    @Test
    public void aTaskThatCrashesItsWorkerWithinAMillisecondIsSuspected() {
        mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 1, 1));
        WorkerEnd end =
                mOwner.mScheduler.removeWorker(
                        mOwner.mScheduler.worker("w1").get(),
                        WorkerEndReason.NOT_LISTED,
                        mOwner.mNowMs);

        assertEquals(end.suspects().size(), 1);
    }

    @Test
    public void severalSuspectsAreNoEvidenceAgainstOne() {
        mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 2, 1));

        for (WorkerEnd.Suspect s : mOwner.crash("w1").suspects()) {
            assertEquals(s.crashes(), new CrashHistory(1, 0, 10));
        }
    }

    /** Guards against suspects among tasks that had run on the crashed worker for seconds. */
    @Test
    public void aTaskThatHasRunForSecondsIsNotSuspected() {
        WorkerState worker = mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 1, 1));
        mOwner.poll(worker);
        mOwner.mNowMs += 2000;
        mOwner.poll(worker);

        assertTrue(mOwner.crash("w1").suspects().isEmpty());
    }

    /** Guards against jobs that are given up since their workers were shut down as planned. */
    @Test
    public void theEndOfADrainingWorkerIsNoCrash() {
        mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 1, 1));
        WorkerInfo info = OwnerHarness.info("w1", "surveys", 8);
        mOwner.mScheduler.updateWorker(
                new WorkerInfo(
                        WorkerIncarnation.ofUnknownStart(info.id()),
                        info.service(),
                        info.address(),
                        info.zone(),
                        info.capacity(),
                        Set.of(),
                        info.rack(),
                        true),
                mOwner.mNowMs);

        assertTrue(mOwner.crash("w1").suspects().isEmpty());
    }

    /** Guards against a crash that isn't counted since its VM was to be moved. */
    @Test
    public void theCrashOfAWorkerThatIsBeingEvacuatedCounts() {
        WorkerState worker = mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 1, 1));
        worker.setEvacuating(true);

        assertEquals(mOwner.crash("w1").suspects().size(), 1);
    }

    @Test
    public void aMoveOfTheVmIsNoCrash() {
        mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 1, 1));
        WorkerEnd end =
                mOwner.mScheduler.removeWorker(
                        mOwner.mScheduler.worker("w1").get(),
                        WorkerEndReason.MOVED_OR_REBOOTED,
                        mOwner.mNowMs);

        assertTrue(end.suspects().isEmpty());
    }

    /** Guards against a blamed task whose start the crashed worker never received. */
    @Test
    public void aStartThatReachedAnotherIncarnationIsNotSuspected() {
        mOwner.addWorker("w1", "surveys", 8);
        mOwner.accept(job(JOB, 1, 1));
        mOwner.recordStarts(mOwner.decide().planned());
        TaskRun run = mOwner.decide().starts().get(0).run();
        run.recordStartSent(mOwner.mNowMs);
        mOwner.mScheduler.startAnswered(run, CommandOutcome.OTHER_LIFE, mOwner.mNowMs);

        assertTrue(mOwner.crash("w1").suspects().isEmpty());
    }

    /** Guards against a task that hides behind an earlier suspect, and the reverse. */
    @Test
    public void aCrashBesideAnEarlierSuspectIsEvidenceAgainstThatOneOnly() {
        mOwner.addWorker("w1", "surveys", 8);
        TaskRun first = start(job(JOB, 1, 1)).get(0);
        mOwner.crash("w1");
        mOwner.addWorker("w2", "surveys", 8);
        mOwner.accept(job(OTHER, 2, 1));
        assertEquals(mOwner.placeTasks().size(), 3);

        List<WorkerEnd.Suspect> suspects = mOwner.crash("w2").suspects();

        assertEquals(suspects.size(), 3);
        for (WorkerEnd.Suspect s : suspects) {
            boolean again = s.run().task() == first.task();
            assertEquals(s.crashes().crashes(), again ? 2 : 1);
            assertEquals(s.crashes().evidence() > 0, again);
        }
    }

    @Test
    public void suspectsOfOneCrashStartOnDifferentWorkers() {
        mOwner.addWorker("w1", "surveys", 8);
        start(job(JOB, 2, 1));
        mOwner.crash("w1");
        mOwner.addWorker("w2", "surveys", 8);
        mOwner.addWorker("w3", "surveys", 8);

        List<TaskRun> again = mOwner.placeTasks();

        assertEquals(again.size(), 2);
        assertNotEquals(again.get(0).worker(), again.get(1).worker());
    }

    /** Guards against a crash loop that takes standing and other tasks with it each time. */
    @Test
    public void afterTwoCrashesATaskStartsAwayFromOthers() {
        mOwner.addWorker("w1", "surveys", 8);
        TaskRun run = start(job(JOB, 1, 1)).get(0);
        crashAfter(500, "w1");
        mOwner.addWorker("w2", "surveys", 8);
        run = mOwner.placeTasks().get(0);
        crashAfter(500, "w2");
        mOwner.addWorker("w3", "surveys", 8);
        start(OwnerHarness.definition(OTHER, "surveys", 0, OwnerHarness.standing(1, 1, 1)));
        mOwner.addWorker("w4", "surveys", 8);
        assertTrue(mOwner.placeTasks().isEmpty(), "the start is delayed");
        mOwner.mNowMs += run.task().crashes().backoffMs();

        List<TaskRun> third = mOwner.placeTasks();
        assertEquals(third.get(0).worker().id(), "w4", "no standing task would be lost there");
        mOwner.accept(job("00000000000000cc", 4, 1));
        for (TaskRun r : mOwner.placeTasks()) {
            assertEquals(r.worker().id(), "w3", "nothing starts beside the suspect");
        }
    }

    @Test
    public void aTaskThatCrashesEachWorkerIsGivenUp() {
        for (int w = 1; w <= 5; w++) {
            mOwner.addWorker("w" + w, "surveys", 8);
        }
        JobProgress progress = mOwner.accept(job(JOB, 1, 1));
        TaskRun run = mOwner.placeTasks().get(0);
        run = crashAndRestart(run);
        mOwner.crash(run.worker().id());

        assertEquals(mOwner.mScheduler.takeGivenUp(), List.of(run.task()));
        mOwner.mNowMs += 10_000;
        assertTrue(mOwner.placeTasks().isEmpty());
        assertFalse(progress.phase().isFinal(), "the journal decides on the phase");
    }

    /** Guards against a sixth start of a task because its crashes aren't seen to repeat. */
    @Test
    public void aCrashThatIsNoticedLateDoesNotHideThatTheOthersRepeat() {
        mOwner.accept(job(JOB, 1, 1));
        mOwner.accept(job(OTHER, 1, 1));
        for (String worker : List.of("w1", "w2")) {
            mOwner.addWorker(worker, "surveys", 8);
            assertEquals(mOwner.placeTasks().size(), 2, "both are suspects");
            crashAfter(46, worker);
        }
        mOwner.addWorker("w3", "surveys", 8);
        ActiveTask task = null;
        for (long ms : List.of(46L, 402L, 46L)) {
            mOwner.addWorker("w-" + mOwner.mNowMs, "surveys", 8);
            mOwner.mNowMs += MAX_BACKOFF_MS;
            TaskRun run = startOf(JOB);
            task = run.task();
            crashAfter(ms, run.worker().id());
        }

        assertEquals(task.crashes().crashes(), 5);
        assertEquals(mOwner.mScheduler.takeGivenUp(), List.of(task));
    }

    @Test
    public void aTaskThatRanWithoutACrashIsNoSuspectAnyMore() {
        mOwner.addWorker("w1", "surveys", 8);
        TaskRun run = start(job(JOB, 1, 1)).get(0);
        mOwner.addWorker("w2", "surveys", 8);
        run = crashAndRestart(run);
        RunEnd failed = new RunEnd(1, run.task().name(), run.attempt(), RunOutcome.FAILED, "");
        mOwner.poll(run.worker(), failed);

        assertEquals(run.task().crashes(), CrashHistory.NONE);
        assertEquals(run.worker().suspects(), 0);
    }

    /** Guards against a gang that is blamed once for each of its members. */
    @Test
    public void aCrashCountsOnceForAGang() {
        mOwner.addWorker("w1", "surveys", 8);
        TaskStep gang =
                new TaskStep(
                        3,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(true, false, "", "", 0),
                        RunMode.PLAIN);
        mOwner.accept(OwnerHarness.definition(JOB, "surveys", 0, gang));
        assertEquals(mOwner.placeTasks().size(), 3);

        for (WorkerEnd.Suspect s : mOwner.crash("w1").suspects()) {
            assertEquals(s.crashes().crashes(), 1);
        }
    }

    /** Guards against a new owner that starts a task as if its predecessor had seen no crash. */
    @Test
    public void aNewOwnerKnowsTheCrashesOfTheLastStart() {
        mOwner.addWorker("w1", "surveys", 8);
        TaskRun run = start(job(JOB, 1, 1)).get(0);
        mOwner.addWorker("w2", "surveys", 8);
        run = crashAndRestart(run);
        JobProgress progress = mOwner.mRegistry.job(JOB).get();

        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mScheduler.addInheritedJob(progress, w -> true, next.mNowMs);
        next.addWorker("w3", "surveys", 8);
        next.mNowMs += 1000;
        TaskRun third = next.placeTasks().get(0);

        assertEquals(third.startRecord().crashes().crashes(), 2);
    }
}
