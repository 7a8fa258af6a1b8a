package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobPhase;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunView;
import org.testng.annotations.Test;

/** What a new owner makes of the runs that an earlier one has started. */
public class NewOwnerTest {
    private static final String JOB = "00000000000000aa";

    @Test
    public void aNewOwnerWaitsForAWorkerThatMayRunTheTask() {
        // The owner is killed while a worker with a running task is cut off. The new owner must not
        // start the task elsewhere before the lease on the silent worker is surely over.
        Owner first = new Owner();
        first.worker("w1", "surveys", 8);
        JobEntry job =
                first.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        first.place();

        Owner second = new Owner(first.mBook);
        second.worker("w2", "surveys", 8);
        second.mScheduler.inherit(job, w -> false, second.mNowMs);

        assertTrue(second.place().isEmpty());
        second.mNowMs += Owner.LIMITS.leaseMs();
        assertTrue(second.mScheduler.takeLapsed(second.mNowMs).isEmpty());
        second.mNowMs += Owner.LIMITS.surelyLapsedMs() - Owner.LIMITS.leaseMs() + 1;
        assertEquals(second.mScheduler.takeLapsed(second.mNowMs).size(), 1);
        List<TaskRun> again = second.place();
        assertEquals(again.size(), 1);
        assertEquals(again.get(0).attempt(), 2);
    }

    @Test
    public void aNewOwnerStartsAtOnceWhatRanOnALifeThatIsOver() {
        // A rack crashes together with the owner. The list of VMs shows that the worker's life is
        // over, so that its tasks need not wait for a lease.
        Owner first = new Owner();
        first.worker("w1", "surveys", 8);
        JobEntry job =
                first.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        first.place();

        Owner second = new Owner(first.mBook);
        second.worker("w2", "surveys", 8);
        second.mScheduler.inherit(job, w -> w.equals("w1"), second.mNowMs);

        assertEquals(second.place().size(), 1);
    }

    @Test
    public void aNewOwnerLeavesRunningWhatItFindsRunning() {
        // A standing task must not be interrupted because the owner changes.
        Owner first = new Owner();
        first.worker("w1", "surveys", 8);
        JobEntry job = first.accept(Owner.order(JOB, "surveys", 0, Owner.standing(2, 1, 1)));
        List<TaskRun> runs = first.place();

        Owner second = new Owner(first.mBook);
        second.mScheduler.worker(Owner.info("w1", "surveys", 8), second.mNowMs);
        WorkerState worker = second.mScheduler.worker("w1").get();
        second.mScheduler.inherit(job, w -> false, second.mNowMs);
        second.mNowMs++;
        second.lookAt(
                worker,
                List.of(
                        new RunView(runs.get(0).slot().name(), 1, "", 100, 0),
                        new RunView(runs.get(1).slot().name(), 1, "", 100, 0)),
                List.of());

        Decisions decisions = second.decide();
        assertTrue(decisions.planned().isEmpty());
        assertTrue(decisions.stops().isEmpty());
        assertEquals(worker.runs().size(), 2);
    }

    @Test
    public void aFailureThatIsListedTwiceCountsOnce() {
        // A run fails, the end is stored, the owner dies before it is acknowledged, and the next
        // owner finds it listed. Counted twice, the job would be given up after one failure.
        Owner first = new Owner();
        WorkerState worker = first.worker("w1", "surveys", 8);
        JobEntry job =
                first.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        TaskRun run = first.place().get(0);
        first.end(run, RunOutcome.FAILED, 1);

        Owner second = new Owner(first.mBook);
        second.mScheduler.inherit(job, w -> false, second.mNowMs);
        second.mScheduler.worker(worker.info(), second.mNowMs);
        RunEnd listed = new RunEnd(1, run.slot().name(), 1, RunOutcome.FAILED, "");
        second.lookAt(second.mScheduler.worker("w1").get(), List.of(), List.of(listed));

        assertEquals(second.place().size(), 1);
        assertEquals(job.phase(), JobPhase.RUNNING);
    }
}
