package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.port.CommandOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests workers whose capacity changes while they run. */
public class ShrunkWorkerTest {
    private static final String JOB = "00000000000000aa";

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mOwner.addWorker("w1", "surveys", 8);
        mOwner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(8, 1, 1000, List.of())));
    }

    private void setCores(int cores) {
        mOwner.mScheduler.updateWorker(OwnerHarness.info("w1", "surveys", cores), mOwner.mNowMs);
    }

    /** Guards against starts that exceed the capacity of a worker that doesn't check it. */
    @Test
    public void recordedStartsThatNoLongerFitAreNotSent() {
        mOwner.recordStarts(mOwner.decide().planned());
        setCores(3);

        assertEquals(mOwner.decide().starts().size(), 3);
        assertEquals(mOwner.mScheduler.worker("w1").get().runs().size(), 3);
    }

    /** Guards against a repeated command that begins a run which no longer fits. */
    @Test
    public void anUnansweredStartThatNoLongerFitsIsStopped() {
        mOwner.recordStarts(mOwner.decide().planned());
        List<Decisions.Start> starts = mOwner.decide().starts();
        for (Decisions.Start s : starts) {
            s.run().recordStartSent(mOwner.mNowMs);
            mOwner.mScheduler.startAnswered(s.run(), CommandOutcome.UNANSWERED, mOwner.mNowMs);
        }
        setCores(3);
        mOwner.mNowMs += 300;

        Decisions decisions = mOwner.decide();

        assertTrue(decisions.starts().isEmpty(), "runs that are being stopped still count");
        assertEquals(decisions.stops().size(), 5);
    }

    @Test
    public void runningTasksStayOnAWorkerThatShrinks() {
        mOwner.placeTasks();
        setCores(3);
        Decisions decisions = mOwner.decide();

        assertTrue(decisions.stops().isEmpty());
        assertEquals(mOwner.mScheduler.worker("w1").get().runs().size(), 8);
    }

    @Test
    public void aWorkerThatGrowsAgainGetsTheWaitingTasks() {
        mOwner.recordStarts(mOwner.decide().planned());
        setCores(3);
        mOwner.decide();
        assertTrue(mOwner.decide().planned().isEmpty());
        setCores(8);

        assertEquals(mOwner.decide().planned().size(), 5);
    }
}
