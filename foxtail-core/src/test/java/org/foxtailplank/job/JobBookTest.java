package org.foxtailplank.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobCancelled;
import org.foxtailplank.job.JournalRecord.JobsBegun;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.JournalRecord.WaveCompleted;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What the journal tells of jobs. */
public class JobBookTest {
    private static final long KEEP_MS = 120_000;
    private static final long NOW_MS = 5_000_000;

    private JobBook mBook;

    @BeforeMethod
    public void setUp() {
        mBook = new JobBook(KEEP_MS);
    }

    private static JobOrder order(String id, int tasks, boolean gang) {
        TaskStep step =
                new TaskStep(
                        tasks,
                        Resources.of(1, 1, 0),
                        100,
                        List.of(),
                        new PlacementRule(gang, false, "", "", 0),
                        RunMode.PLAIN);
        QueueTerms terms = new QueueTerms(0, 2, 1.6, 600, Optional.empty());
        return new JobOrder(id, "q", "s", "t", List.of(step), Timetable.AT_ONCE, terms, NOW_MS);
    }

    private JobEntry accept(int tasks) {
        return mBook.apply(new JobAccepted(order("aa", tasks, false))).orElseThrow();
    }

    private void end(int index, int attempt, RunOutcome outcome) {
        TaskName task = new TaskName("aa", 0, 0, index);
        mBook.apply(new RunsEnded(List.of(new EndedRun(task, attempt, outcome, NOW_MS))));
    }

    @Test
    public void recordsThatComeBeforeTheirJobAreKeptForIt() {
        // A job was accepted in one partition of the journal and started in the other. A new owner
        // that reads the second one first would know nothing of the start, and start the task on
        // another worker while it runs.
        TaskName task = new TaskName("aa", 0, 0, 0);
        StartedRun start = new StartedRun(task, 3, "w1");
        mBook.apply(new RunsStarted(List.of(start)));
        end(0, 2, RunOutcome.FAILED);
        JobEntry entry = accept(1);

        assertEquals(List.copyOf(entry.lastStarts()), List.of(start));
        assertEquals(entry.failedAttempts(task), Set.of(2));
    }

    @Test
    public void aJobThatIsHandedInTwiceIsOneJob() {
        accept(1);

        assertTrue(mBook.apply(new JobAccepted(order("aa", 5, false))).isEmpty());
        assertEquals(mBook.job("aa").orElseThrow().order().tasksPerRun(), 1);
    }

    @Test
    public void aJobIsCompletedOnlyWhenEachTaskHasEndedDone() {
        JobEntry job = accept(2);
        assertEquals(job.phase(), JobPhase.QUEUED);
        mBook.apply(new RunsStarted(List.of(new StartedRun(new TaskName("aa", 0, 0, 0), 1, "w"))));
        assertEquals(job.phase(), JobPhase.QUEUED);
        mBook.apply(new JobsBegun(List.of("aa")));
        assertEquals(job.phase(), JobPhase.RUNNING);
        end(0, 1, RunOutcome.DONE);
        end(0, 1, RunOutcome.DONE);
        assertEquals(job.phase(), JobPhase.RUNNING);
        end(1, 1, RunOutcome.DONE);
        assertEquals(job.phase(), JobPhase.COMPLETED);
    }

    @Test
    public void onlyRunsThatFailedCountAsAttempts() {
        JobEntry job = accept(1);
        end(0, 1, RunOutcome.FAILED);
        end(0, 2, RunOutcome.STOPPED);
        end(0, 3, RunOutcome.LAPSED);
        end(0, 1, RunOutcome.FAILED);
        assertEquals(job.phase(), JobPhase.RUNNING);
        end(0, 4, RunOutcome.FAILED);
        assertEquals(job.phase(), JobPhase.FAILED);
    }

    @Test
    public void oneEndThatIsDoneStandsForAWholeGang() {
        JobEntry job = mBook.apply(new JobAccepted(order("aa", 4, true))).orElseThrow();
        end(2, 1, RunOutcome.DONE);

        assertEquals(job.phase(), JobPhase.COMPLETED);
    }

    @Test
    public void aJobThatHasEndedIsNotCancelled() {
        JobEntry job = accept(1);
        end(0, 1, RunOutcome.DONE);
        mBook.apply(new JobCancelled("aa", NOW_MS));

        assertEquals(job.phase(), JobPhase.COMPLETED);
    }

    @Test
    public void aJobThatIsToldAgainIsKnownWithoutItsFirstRecords() {
        // The platform drops records after some minutes. A node that starts then would not know a
        // standing job that callers still rely on.
        JobEntry job = accept(3);
        mBook.apply(new RunsStarted(List.of(new StartedRun(new TaskName("aa", 0, 0, 1), 7, "w"))));
        end(0, 1, RunOutcome.DONE);
        end(1, 2, RunOutcome.FAILED);
        JobBook later = new JobBook(KEEP_MS);

        JobEntry told = later.apply(job.restate(NOW_MS)).orElseThrow();

        assertTrue(told.isDone(new TaskName("aa", 0, 0, 0)));
        assertEquals(told.failedAttempts(new TaskName("aa", 0, 0, 1)).size(), 1);
        assertEquals(told.lastStarts().iterator().next().attempt(), 7);
        assertEquals(told.phase(), JobPhase.RUNNING);
        assertEquals(job.statedMs(), NOW_MS);
    }

    @Test
    public void anEndedJobCanBeAskedForUntilItsTimeIsOver() {
        accept(1);
        end(0, 1, RunOutcome.DONE);
        mBook.forgetEnded(NOW_MS + KEEP_MS);
        assertTrue(mBook.job("aa").isPresent());
        mBook.forgetEnded(NOW_MS + KEEP_MS + 1);
        assertTrue(mBook.job("aa").isEmpty());
    }

    @Test
    public void onlyJobsOfTheQueueThatHaveNotBegunArePending() {
        accept(1);
        mBook.apply(new JobAccepted(order("bb", 1, false)));
        mBook.apply(new JobsBegun(List.of("bb")));

        assertEquals(mBook.pending("q"), 1);
        assertEquals(mBook.pending("other"), 0);
    }

    @Test
    public void aJobIsPendingUntilAWorkerSaysThatItHasBegun() {
        // A zone is cut off and its owner killed. Starts on workers there were written down and
        // never arrived; the next owner waits their leases out. Callers were told that these jobs
        // run, and that hardly any of the queue waits.
        mBook.apply(new RunsStarted(List.of(new StartedRun(new TaskName("aa", 0, 0, 0), 1, "w"))));
        accept(1);

        assertEquals(mBook.pending("q"), 1);
    }

    @Test
    public void thatAJobHasBegunMayBeToldBeforeTheJob() {
        mBook.apply(new JobsBegun(List.of("aa")));

        assertEquals(accept(1).phase(), JobPhase.RUNNING);
    }

    @Test
    public void rebootsOfAWaveAreKnownAgainAfterTheirRecordsLapsed() {
        mBook.apply(new VmRebooted(1, "vm1"));
        mBook.apply(new VmRebooted(2, "vm2"));
        mBook.apply(new WaveCompleted(2));
        JobBook later = new JobBook(KEEP_MS);
        mBook.restateWaves().forEach(later::apply);

        assertEquals(later.rebooted(1), Set.of("vm1"));
        assertTrue(later.isCompleted(2));
    }

    @Test
    public void aJobThatIsToldAgainMakesUpForRecordsThatWereMissed() {
        // A node lags behind until records have expired, and reads on after a gap. It knows the job
        // and so passes over the record that tells all of it again: as the owner it would start
        // what has ended done.
        JobBook whole = new JobBook(KEEP_MS);
        JobEntry known = whole.apply(new JobAccepted(order("aa", 2, false))).orElseThrow();
        TaskName task = new TaskName("aa", 0, 0, 0);
        EndedRun end = new EndedRun(task, 1, RunOutcome.DONE, NOW_MS);
        StartedRun start = new StartedRun(new TaskName("aa", 0, 0, 1), 1, "w1");
        whole.apply(new RunsEnded(List.of(end)));
        whole.apply(new RunsStarted(List.of(start)));

        JobEntry entry = accept(2);
        mBook.apply(known.restate(NOW_MS + 100_000));

        assertTrue(entry.isDone(task));
        assertEquals(List.copyOf(entry.lastStarts()), List.of(start));
    }

    @Test
    public void noStartIsDroppedBeforeItsJobIsKnown() {
        // While a partition of the journal was away, starts of more than a thousand jobs went to
        // another one, which a node that starts then reads first.
        TaskName task = new TaskName("aa", 0, 0, 0);
        StartedRun start = new StartedRun(task, 1, "w1");
        mBook.apply(new RunsStarted(List.of(start)));
        for (int i = 0; i < 1000; i++) {
            TaskName other = new TaskName("b" + i, 0, 0, 0);
            mBook.apply(new RunsStarted(List.of(new StartedRun(other, 1, "w1"))));
        }

        assertEquals(List.copyOf(accept(1).lastStarts()), List.of(start));
    }
}
