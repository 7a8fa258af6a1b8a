package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.port.CommandOutcome;
import org.testng.annotations.Test;

/**
 * Tests when a job counts as started.
 *
 * <p>Guards against jobs that are reported as started because their starts are in the journal,
 * although the commands never arrived.
 */
public class StartedJobsTest {
    private static final String JOB = "00000000000000aa";

    @Test
    public void aJobHasStartedOnceAWorkerConfirmsItsFirstTask() {
        OwnerHarness owner = new OwnerHarness();
        owner.addWorker("w1", "surveys", 8);
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(2, 1, 1000, List.of())));
        owner.recordStarts(owner.decide().planned());
        List<Decisions.Start> starts = owner.decide().starts();
        List<String> written = owner.mScheduler.takeStartedJobs();
        owner.mScheduler.startAnswered(starts.get(0).run(), CommandOutcome.NOT_SENT, owner.mNowMs);
        List<String> notSent = owner.mScheduler.takeStartedJobs();
        owner.mScheduler.startAnswered(starts.get(1).run(), CommandOutcome.DONE, owner.mNowMs);
        List<String> taken = owner.mScheduler.takeStartedJobs();

        assertEquals(written, List.of());
        assertEquals(notSent, List.of());
        assertEquals(taken, List.of(JOB));
        assertEquals(owner.mScheduler.takeStartedJobs(), List.of(), "reported only once");
    }

    @Test
    public void aJobHasStartedIfAWorkerListsAnUnconfirmedRun() {
        // The answer to the command was lost; the run shows up in the next poll.
        OwnerHarness first = new OwnerHarness();
        WorkerState worker = first.addWorker("w1", "surveys", 8);
        JobProgress job =
                first.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        first.recordStarts(first.decide().planned());

        OwnerHarness second = new OwnerHarness(first.mRegistry);
        second.mScheduler.addInheritedJob(job, w -> false, second.mNowMs);
        List<String> inherited = second.mScheduler.takeStartedJobs();
        second.mScheduler.updateWorker(worker.registration().entry().orElseThrow(), second.mNowMs);
        second.poll(second.mScheduler.worker("w1").get());

        assertEquals(inherited, List.of());
        assertEquals(second.mScheduler.takeStartedJobs(), List.of(JOB));
    }
}
