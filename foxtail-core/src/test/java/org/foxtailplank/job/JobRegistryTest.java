package org.foxtailplank.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobGivenUp;
import org.foxtailplank.job.JournalRecord.JobSnapshot;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how journal records change the state of jobs and waves. */
public class JobRegistryTest {
    private static final long RETENTION_MS = 120_000;
    private static final long NOW_MS = 5_000_000;

    private JobRegistry mRegistry;

    @BeforeMethod
    public void setUp() {
        mRegistry = new JobRegistry(RETENTION_MS);
    }

    private static JobDefinition definition(String id, int tasks, boolean gang) {
        TaskStep step =
                new TaskStep(
                        tasks,
                        Resources.of(1, 1, 0),
                        100,
                        List.of(),
                        new PlacementConstraints(gang, false, "", "", 0),
                        RunMode.PLAIN);
        QueuePolicy policy = new QueuePolicy(0, 2, 1.6, 600, Optional.empty());
        return new JobDefinition(
                id, "q", "s", "t", List.of(step), Timetable.AT_ONCE, policy, NOW_MS, 0, "");
    }

    private JobProgress accept(int tasks) {
        return mRegistry.apply(new JobAccepted(definition("aa", tasks, false))).orElseThrow();
    }

    private void end(int index, int attempt, RunOutcome outcome) {
        TaskName task = new TaskName("aa", 0, 0, index);
        mRegistry.apply(new RunsEnded(List.of(new EndedRun(task, attempt, outcome, NOW_MS))));
    }

    @Test
    public void recordsThatPrecedeTheirJobAreAppliedOnceItIsKnown() {
        // A start in one partition may be read before the job's acceptance in another one. A new
        // owner that dropped it would start the running task on a second worker.
        TaskName task = new TaskName("aa", 0, 0, 0);
        StartedRun start = new StartedRun(task, 3, WorkerIncarnation.ofUnknownStart("w1"));
        mRegistry.apply(new RunsStarted(List.of(start)));
        end(0, 2, RunOutcome.FAILED);
        JobProgress progress = accept(1);

        assertEquals(List.copyOf(progress.lastStarts()), List.of(start));
        assertEquals(progress.failedAttempts(task), Set.of(2));
    }

    @Test
    public void aJobThatIsSubmittedTwiceIsRegisteredOnce() {
        accept(1);

        assertTrue(mRegistry.apply(new JobAccepted(definition("aa", 5, false))).isEmpty());
        assertEquals(mRegistry.job("aa").orElseThrow().definition().tasksPerRun(), 1);
    }

    @Test
    public void aJobIsCompletedOnlyWhenEveryTaskIsDone() {
        JobProgress job = accept(2);
        assertEquals(job.phase(), JobPhase.QUEUED);
        mRegistry.apply(
                new RunsStarted(
                        List.of(
                                new StartedRun(
                                        new TaskName("aa", 0, 0, 0),
                                        1,
                                        WorkerIncarnation.ofUnknownStart("w")))));
        assertEquals(job.phase(), JobPhase.QUEUED);
        mRegistry.apply(new JobsStarted(List.of("aa")));
        assertEquals(job.phase(), JobPhase.RUNNING);
        end(0, 1, RunOutcome.DONE);
        end(0, 1, RunOutcome.DONE);
        assertEquals(job.phase(), JobPhase.RUNNING);
        end(1, 1, RunOutcome.DONE);
        assertEquals(job.phase(), JobPhase.COMPLETED);
    }

    @Test
    public void onlyRunsThatFailedCountAsAttempts() {
        JobProgress job = accept(1);
        end(0, 1, RunOutcome.FAILED);
        end(0, 2, RunOutcome.STOPPED);
        end(0, 3, RunOutcome.LAPSED);
        end(0, 1, RunOutcome.FAILED);
        assertEquals(job.phase(), JobPhase.RUNNING);
        end(0, 4, RunOutcome.FAILED);
        assertEquals(job.phase(), JobPhase.FAILED);
    }

    @Test
    public void oneSuccessfulMemberCompletesTheGang() {
        JobProgress job = mRegistry.apply(new JobAccepted(definition("aa", 4, true))).orElseThrow();
        end(2, 1, RunOutcome.DONE);

        assertEquals(job.phase(), JobPhase.COMPLETED);
    }

    /** Guards against a gang member that runs on unknown to a node that read only a snapshot. */
    @Test
    public void aSnapshotEndsTheRunOfTheMemberThatFailedOnly() {
        JobProgress job = mRegistry.apply(new JobAccepted(definition("aa", 2, true))).orElseThrow();
        List<StartedRun> starts = List.of(memberStart(0), memberStart(1));
        mRegistry.apply(new RunsStarted(starts));
        end(1, 1, RunOutcome.FAILED);
        JobProgress restored = new JobRegistry(RETENTION_MS).apply(job.snapshot()).orElseThrow();

        assertFalse(restored.hasEnded(starts.get(0)));
        assertTrue(restored.hasEnded(starts.get(1)));
        assertEquals(restored.failedAttempts(starts.get(0).task()), Set.of(1));
        JobProgress again = new JobRegistry(RETENTION_MS).apply(restored.snapshot()).orElseThrow();
        assertFalse(again.hasEnded(starts.get(0)));
        assertEquals(again.failedAttempts(starts.get(0).task()), Set.of(1));
    }

    private static StartedRun memberStart(int index) {
        WorkerIncarnation worker = WorkerIncarnation.ofUnknownStart("w" + index);
        return new StartedRun(new TaskName("aa", 0, 0, index), 1, worker);
    }

    @Test
    public void aJobThatHasEndedIsNotCancelled() {
        JobProgress job = accept(1);
        end(0, 1, RunOutcome.DONE);
        mRegistry.apply(new JobCancelled("aa", NOW_MS));

        assertEquals(job.phase(), JobPhase.COMPLETED);
    }

    @Test
    public void aJobIsRestoredFromItsSnapshotAlone() {
        // Guards against a node that starts after the original records have expired and doesn't
        // know a standing job.
        JobProgress job = accept(3);
        mRegistry.apply(
                new RunsStarted(
                        List.of(
                                new StartedRun(
                                        new TaskName("aa", 0, 0, 1),
                                        7,
                                        WorkerIncarnation.ofUnknownStart("w")))));
        end(0, 1, RunOutcome.DONE);
        end(1, 2, RunOutcome.FAILED);
        JobRegistry replica = new JobRegistry(RETENTION_MS);

        JobProgress restored = replica.apply(job.snapshot()).orElseThrow();

        assertTrue(restored.isDone(new TaskName("aa", 0, 0, 0)));
        assertEquals(restored.failedAttempts(new TaskName("aa", 0, 0, 1)).size(), 1);
        assertEquals(restored.lastStarts().iterator().next().attempt(), 7);
        assertEquals(restored.phase(), JobPhase.RUNNING);
    }

    @Test
    public void anEndedJobIsRetainedUntilItExpires() {
        accept(1);
        end(0, 1, RunOutcome.DONE);
        mRegistry.removeExpired(NOW_MS + RETENTION_MS);
        assertTrue(mRegistry.job("aa").isPresent());
        mRegistry.removeExpired(NOW_MS + RETENTION_MS + 1);
        assertTrue(mRegistry.job("aa").isEmpty());
    }

    @Test
    public void onlyUnstartedJobsOfTheQueueArePending() {
        accept(1);
        mRegistry.apply(new JobAccepted(definition("bb", 1, false)));
        mRegistry.apply(new JobsStarted(List.of("bb")));

        assertEquals(mRegistry.pending("q"), 1);
        assertEquals(mRegistry.pending("other"), 0);
    }

    @Test
    public void jobsThatStartOrEndBetweenTwoCountsAreNoLongerPending() {
        // Guards against an index of pending jobs that keeps those that were cancelled or expired.
        accept(1);
        mRegistry.apply(new JobAccepted(definition("bb", 1, false)));
        mRegistry.apply(new JobAccepted(definition("cc", 1, false)));
        assertEquals(mRegistry.pending("q"), 3);

        mRegistry.apply(new JobsStarted(List.of("bb")));
        mRegistry.apply(new JobCancelled("cc", NOW_MS));
        assertEquals(mRegistry.pending("q"), 1);

        mRegistry.apply(new JobCancelled("aa", NOW_MS));
        mRegistry.removeExpired(NOW_MS + RETENTION_MS + 1);
        assertEquals(mRegistry.pending("q"), 0);
    }

    @Test
    public void aJobIsPendingUntilAWorkerReportsItsStart() {
        // Guards against reporting a job as running when its start was recorded but the start
        // command
        // never reached the worker, as in a network partition of its zone.
        mRegistry.apply(
                new RunsStarted(
                        List.of(
                                new StartedRun(
                                        new TaskName("aa", 0, 0, 0),
                                        1,
                                        WorkerIncarnation.ofUnknownStart("w")))));
        accept(1);

        assertEquals(mRegistry.pending("q"), 1);
    }

    @Test
    public void aStartReportMayPrecedeTheJob() {
        mRegistry.apply(new JobsStarted(List.of("aa")));

        assertEquals(accept(1).phase(), JobPhase.RUNNING);
    }

    @Test
    public void wavesAreRestoredFromTheirRecords() {
        mRegistry.apply(new VmRebooted(1, "vm1"));
        mRegistry.apply(new VmRebooted(2, "vm2"));
        mRegistry.apply(new WaveCompleted(2));

        assertEquals(mRegistry.rebooted(1), Set.of("vm1"));
        assertTrue(mRegistry.isCompleted(2));
        assertFalse(mRegistry.isCompleted(1));
    }

    @Test
    public void aJobSnapshotSuppliesMissedRecords() {
        // Guards against a lagging node that missed expired records and ignores the snapshot of
        // a known job: as the owner it would run finished tasks again.
        JobRegistry complete = new JobRegistry(RETENTION_MS);
        JobProgress known =
                complete.apply(new JobAccepted(definition("aa", 2, false))).orElseThrow();
        TaskName task = new TaskName("aa", 0, 0, 0);
        EndedRun end = new EndedRun(task, 1, RunOutcome.DONE, NOW_MS);
        StartedRun start =
                new StartedRun(
                        new TaskName("aa", 0, 0, 1), 1, WorkerIncarnation.ofUnknownStart("w1"));
        complete.apply(new RunsEnded(List.of(end)));
        complete.apply(new RunsStarted(List.of(start)));

        JobProgress progress = accept(2);
        mRegistry.apply(known.snapshot());

        assertTrue(progress.isDone(task));
        assertEquals(List.copyOf(progress.lastStarts()), List.of(start));
    }

    /** Guards against a job that shows as running again once its original records have expired. */
    @Test
    public void aSnapshotKeepsThatAJobWasGivenUp() {
        JobProgress givenUp = accept(1);
        mRegistry.apply(new JobGivenUp("aa", NOW_MS));
        JobRegistry later = new JobRegistry(RETENTION_MS);
        JobProgress restored = later.apply(givenUp.snapshot()).orElseThrow();

        assertEquals(givenUp.phase(), JobPhase.FAILED);
        assertEquals(restored.phase(), JobPhase.FAILED);
        assertEquals(restored.endedMs(), NOW_MS);
    }

    @Test
    public void aCancelledJobStaysCancelledWhenItIsGivenUp() {
        JobProgress job = accept(1);
        mRegistry.apply(new JobCancelled("aa", NOW_MS));
        mRegistry.apply(new JobGivenUp("aa", NOW_MS + 10));

        assertEquals(job.phase(), JobPhase.CANCELLED);
    }

    /** Guards against a new owner that counts a crash again which its predecessor has counted. */
    @Test
    public void aRunThatEndedWithItsWorkerIsNotTakenForRunning() {
        StartedRun start =
                new StartedRun(
                        new TaskName("aa", 0, 0, 0), 1, WorkerIncarnation.ofUnknownStart("w1"));
        CrashHistory crashes = new CrashHistory(1, 80, 0);
        JobProgress job = accept(1);
        mRegistry.apply(new RunsStarted(List.of(start)));
        mRegistry.apply(
                new RunsEndedWithWorker(
                        List.of(
                                new StartedRun(
                                        start.task(),
                                        1,
                                        WorkerIncarnation.ofUnknownStart("w1"),
                                        crashes))));

        assertTrue(job.hasEnded(start));
        assertEquals(job.crashes(start), crashes);
    }

    /** Guards against a count of crashes that is older than the last start. */
    @Test
    public void crashesRecordedWithALaterStartCount() {
        CrashHistory once = new CrashHistory(1, 0, 0);
        CrashHistory twice = new CrashHistory(2, 0, 0);
        TaskName task = new TaskName("aa", 0, 0, 0);
        StartedRun third = new StartedRun(task, 3, WorkerIncarnation.ofUnknownStart("w3"), twice);
        JobProgress job = accept(1);
        mRegistry.apply(new RunsStarted(List.of(third)));
        mRegistry.apply(
                new RunsEndedWithWorker(
                        List.of(
                                new StartedRun(
                                        task, 1, WorkerIncarnation.ofUnknownStart("w1"), once))));

        assertEquals(job.crashes(third), twice);
    }

    @Test
    public void aTaskThatRanWithoutACrashIsCleared() {
        StartedRun start =
                new StartedRun(
                        new TaskName("aa", 0, 0, 0),
                        3,
                        WorkerIncarnation.ofUnknownStart("w1"),
                        new CrashHistory(2, 0, 0));
        JobProgress job = accept(2);
        mRegistry.apply(new RunsStarted(List.of(start)));
        end(0, 3, RunOutcome.FAILED);

        assertEquals(job.crashes(start), CrashHistory.NONE);
    }

    @Test
    public void startsOfManyUnknownJobsAreBuffered() {
        // Guards against evicting the starts of jobs whose acceptance is still unread because its
        // partition is unavailable.
        TaskName task = new TaskName("aa", 0, 0, 0);
        StartedRun start = new StartedRun(task, 1, WorkerIncarnation.ofUnknownStart("w1"));
        mRegistry.apply(new RunsStarted(List.of(start)));
        for (int i = 0; i < 1000; i++) {
            TaskName other = new TaskName("b" + i, 0, 0, 0);
            mRegistry.apply(
                    new RunsStarted(
                            List.of(
                                    new StartedRun(
                                            other, 1, WorkerIncarnation.ofUnknownStart("w1")))));
        }

        assertEquals(List.copyOf(accept(1).lastStarts()), List.of(start));
    }

    private JobProgress acceptRecurring(int tasks, int runs) {
        JobDefinition plain = definition("aa", tasks, false);
        JobDefinition recurring =
                new JobDefinition(
                        plain.id(),
                        plain.route(),
                        plain.service(),
                        plain.text(),
                        plain.steps(),
                        new Timetable(1, 1, runs),
                        plain.policy(),
                        plain.acceptedMs(),
                        plain.configVersion(),
                        plain.organisation());
        return mRegistry.apply(new JobAccepted(recurring)).orElseThrow();
    }

    @Test
    public void aSnapshotOfARecurringJobDoesNotGrowWithItsDoneRuns() {
        // Guards against snapshots of a job that the store refuses after some thousand runs.
        JobProgress progress = acceptRecurring(2, 1_000_000);
        for (int run = 0; run < 10_000; run++) {
            for (int index = 0; index < 2; index++) {
                TaskName task = new TaskName("aa", run, 0, index);
                mRegistry.apply(
                        new RunsStarted(
                                List.of(
                                        new StartedRun(
                                                task, 1, WorkerIncarnation.ofUnknownStart("w1")))));
                if (run != 7 || index != 1) {
                    mRegistry.apply(
                            new RunsEnded(List.of(new EndedRun(task, 1, RunOutcome.DONE, NOW_MS))));
                }
            }
        }

        JobSnapshot snapshot = progress.snapshot();
        JobRegistry replica = new JobRegistry(RETENTION_MS);
        JobProgress restored = replica.apply(snapshot).orElseThrow();

        assertEquals(snapshot.starts().size(), 2);
        assertEquals(snapshot.ends().size(), 1);
        assertEquals(
                snapshot.doneRuns().ranges(), List.of(new RunRange(0, 6), new RunRange(8, 9_999)));
        assertTrue(restored.isDone(new TaskName("aa", 9_999, 0, 1)));
        assertTrue(restored.isDone(new TaskName("aa", 7, 0, 0)));
        assertFalse(restored.isDone(new TaskName("aa", 7, 0, 1)));
        assertEquals(restored.firstUndoneRun(0), 7);
        assertEquals(restored.firstUndoneRun(8), 10_000);
    }

    @Test
    public void aRecurringJobIsCompletedAfterItsLastRun() {
        // Guards against a snapshot of a completed job that a new node takes for an open one.
        JobProgress progress = acceptRecurring(1, 3);
        for (int run : new int[] {2, 0, 1}) {
            assertFalse(progress.phase().isFinal());
            TaskName task = new TaskName("aa", run, 0, 0);
            mRegistry.apply(
                    new RunsEnded(List.of(new EndedRun(task, 1, RunOutcome.DONE, NOW_MS + run))));
        }
        JobProgress restored =
                new JobRegistry(RETENTION_MS).apply(progress.snapshot()).orElseThrow();

        assertEquals(progress.phase(), JobPhase.COMPLETED);
        assertEquals(restored.phase(), JobPhase.COMPLETED);
        assertEquals(restored.endedMs(), NOW_MS + 1);
    }
}
