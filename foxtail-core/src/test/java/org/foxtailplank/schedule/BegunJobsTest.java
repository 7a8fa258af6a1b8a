package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.port.OrderOutcome;
import org.testng.annotations.Test;

/**
 * When a job counts as begun.
 *
 * <p>A zone is cut off and its owner killed. Callers ask how many jobs of a queue wait, and are
 * told hardly any: starts that were written down count as begun, although their orders never
 * arrived and the next owner must wait the leases of the silent workers out.
 */
public class BegunJobsTest {
    private static final String JOB = "00000000000000aa";

    @Test
    public void aJobHasBegunOnceAWorkerHasTakenItsFirstTask() {
        Owner owner = new Owner();
        owner.worker("w1", "surveys", 8);
        owner.accept(Owner.order(JOB, "surveys", 0, Owner.step(2, 1, 1000, List.of())));
        owner.record(owner.decide().planned());
        List<Decisions.Start> starts = owner.decide().starts();
        List<String> written = owner.mScheduler.takeBegun();
        owner.mScheduler.startAnswered(starts.get(0).run(), OrderOutcome.NOT_SENT, owner.mNowMs);
        List<String> notSent = owner.mScheduler.takeBegun();
        owner.mScheduler.startAnswered(starts.get(1).run(), OrderOutcome.DONE, owner.mNowMs);
        List<String> taken = owner.mScheduler.takeBegun();

        assertEquals(written, List.of());
        assertEquals(notSent, List.of());
        assertEquals(taken, List.of(JOB));
        assertEquals(owner.mScheduler.takeBegun(), List.of(), "told once");
    }

    @Test
    public void aJobHasBegunIfAWorkerListsARunThatNobodyConfirmed() {
        // The order's answer was lost, or its sender; the run shows when the worker is looked at.
        Owner first = new Owner();
        WorkerState worker = first.worker("w1", "surveys", 8);
        JobEntry job =
                first.accept(Owner.order(JOB, "surveys", 0, Owner.step(1, 1, 1000, List.of())));
        first.record(first.decide().planned());

        Owner second = new Owner(first.mBook);
        second.mScheduler.inherit(job, w -> false, second.mNowMs);
        List<String> inherited = second.mScheduler.takeBegun();
        second.mScheduler.worker(worker.info(), second.mNowMs);
        second.look(second.mScheduler.worker("w1").get());

        assertEquals(inherited, List.of());
        assertEquals(second.mScheduler.takeBegun(), List.of(JOB));
    }
}
