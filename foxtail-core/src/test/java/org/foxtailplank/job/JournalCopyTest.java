package org.foxtailplank.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.foxtailplank.job.JournalRecord.JobsEnded;
import org.foxtailplank.job.JournalRecord.JobsStarted;
import org.foxtailplank.job.JournalRecord.RunsEnded;
import org.foxtailplank.job.JournalRecord.RunsEndedWithWorker;
import org.foxtailplank.job.JournalRecord.RunsStarted;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what copies in the journal contain. */
public class JournalCopyTest {
    private static final long RETENTION_MS = 120_000;
    private static final long WALL_MS = 5_000_000;
    private static final String JOB = "aa";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);
    private static final StartedRun START =
            new StartedRun(
                    TASK, 4, WorkerIncarnation.ofUnknownStart("w1"), new CrashHistory(2, 30, 510));

    private JobRegistry mRegistry;
    private JobRegistry mReplica;

    @BeforeMethod
    public void setUp() {
        mRegistry = new JobRegistry(RETENTION_MS);
        mReplica = new JobRegistry(RETENTION_MS);
    }

    private static JobDefinition definition(String id) {
        return TestJobs.definition(id, "q", "org", 2, WALL_MS);
    }

    private JobProgress accept() {
        return mRegistry.apply(new JobAccepted(definition(JOB))).orElseThrow();
    }

    private static void end(JobRegistry registry, int index, RunOutcome outcome) {
        TaskName task = new TaskName(JOB, 0, 0, index);
        registry.apply(new RunsEnded(List.of(new EndedRun(task, 1, outcome, WALL_MS + 9))));
    }

    /** Guards against a job shown as queued, and crashes forgotten, by a node that starts later. */
    @Test
    public void aSnapshotKeepsThatTheJobHasStartedAndWhichRunsEndedWithTheirWorkers() {
        JobProgress job = accept();
        mRegistry.apply(new RunsStarted(List.of(START)));
        mRegistry.apply(new JobsStarted(List.of(JOB)));
        mRegistry.apply(new RunsEndedWithWorker(List.of(START)));
        JobProgress restored = mReplica.apply(job.snapshot()).orElseThrow();

        assertEquals(restored.phase(), JobPhase.RUNNING);
        assertEquals(restored.endedWithWorker(), List.of(START));
        assertEquals(restored.crashes(START), START.crashes());
        assertTrue(restored.hasEnded(START));
    }

    /** Guards against a stopped run that the next owner waits for until its lease has expired. */
    @Test
    public void aSnapshotKeepsThatTheLastRunOfATaskWasStopped() {
        JobProgress job = accept();
        mRegistry.apply(new RunsStarted(List.of(START)));
        mRegistry.apply(new RunsEnded(List.of(new EndedRun(TASK, 4, RunOutcome.STOPPED, WALL_MS))));
        JobProgress restored = mReplica.apply(job.snapshot()).orElseThrow();

        assertTrue(restored.hasEnded(START));
        assertFalse(restored.isDone(TASK));
        assertEquals(restored.failedAttempts(TASK), Set.of());
    }

    @DataProvider
    public Object[][] finalPhases() {
        return new Object[][] {{JobPhase.COMPLETED}, {JobPhase.FAILED}, {JobPhase.CANCELLED}};
    }

    private JobProgress ended(JobPhase phase) {
        JobProgress job = accept();
        job.end(phase, WALL_MS + 9);
        assertEquals(job.phase(), phase);
        return job;
    }

    /** Guards against an ended job that a node which starts later answers with 410. */
    @Test(dataProvider = "finalPhases")
    public void anEndedJobIsRestoredFromItsSummaryAlone(JobPhase phase) {
        JobsEnded record = new JobsEnded(List.of(ended(phase).summarize()), 7);
        mReplica.apply(record);
        JobProgress restored = mReplica.job(JOB).orElseThrow();

        assertEquals(JobSummary.of(restored), new JobSummary(phase, "q", "org"));
        assertEquals(restored.endedMs(), WALL_MS + 9);
        assertEquals(restored.summarize(), record.jobs().get(0));
        assertEquals(mReplica.configVersion(), 7);
        assertEquals(mReplica.pending("q"), 0);
        mReplica.removeExpired(WALL_MS + 9 + RETENTION_MS + 1);
        assertTrue(mReplica.job(JOB).isEmpty());
    }

    /** Guards against a node that missed the end in a gap and runs the job again as the owner. */
    @Test(dataProvider = "finalPhases")
    public void aSummaryEndsAKnownJob(JobPhase phase) {
        JobsEnded record = new JobsEnded(List.of(ended(phase).summarize()), 7);
        JobProgress known = mReplica.apply(new JobAccepted(definition(JOB))).orElseThrow();
        mReplica.apply(record);

        assertEquals(known.phase(), phase);
        assertEquals(known.definition().tasksPerRun(), 2);
    }

    /** Guards against a completed job that a late record shows as failed. */
    @Test
    public void aSummarizedJobIgnoresLateRecords() {
        mReplica.apply(new JobsEnded(List.of(ended(JobPhase.COMPLETED).summarize()), 7));
        mReplica.apply(new RunsStarted(List.of(START)));
        end(mReplica, 0, RunOutcome.FAILED);
        end(mReplica, 0, RunOutcome.DONE);
        assertTrue(mReplica.apply(new JobAccepted(definition(JOB))).isEmpty());

        assertEquals(mReplica.job(JOB).orElseThrow().phase(), JobPhase.COMPLETED);
    }

    /** Guards against a forecast that takes summarized jobs for a time without arrivals. */
    @Test
    public void theDefinitionsAreCompleteSinceTheLastJobKnownByItsSummaryOnly() {
        assertEquals(mReplica.completeSinceMs(WALL_MS + 60_000), WALL_MS + 60_000 - RETENTION_MS);
        mReplica.apply(new JobsEnded(List.of(ended(JobPhase.COMPLETED).summarize()), 7));

        assertEquals(mReplica.completeSinceMs(WALL_MS + 60_000), WALL_MS + 1);
    }
}
