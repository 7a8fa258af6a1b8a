package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.CommandOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an owner that learns of a run of a task for which it has planned another one. */
public class SecondRunTest {
    private static final String JOB = "00000000000000aa";
    private static final int EARLIER_ATTEMPT = 3;

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mOwner.addWorker("w2", "surveys", 8);
    }

    /** Lets a worker join that lists a run which this owner doesn't know. */
    private TaskRun listUnknownRun(int task) {
        mOwner.mScheduler.updateWorker(OwnerHarness.info("w1", "surveys", 8), mOwner.mNowMs);
        WorkerState worker = mOwner.mScheduler.worker("w1").get();
        TaskName name = new TaskName(JOB, 0, 0, task);
        mOwner.pollListing(
                worker, List.of(new RunStatus(name, EARLIER_ATTEMPT, "", 50, 0)), List.of());
        return worker.run(name, EARLIER_ATTEMPT).orElseThrow();
    }

    /** Confirms the stop of a run and lets its worker list nothing. */
    private void stop(TaskRun run) {
        mOwner.mScheduler.stopAnswered(run, CommandOutcome.DONE, mOwner.mNowMs);
        mOwner.mNowMs++;
        mOwner.pollListing(run.worker(), List.of(), List.of());
    }

    /** Guards against a start that is sent although another run of its task has been listed. */
    @Test
    public void aPlannedStartWaitsUntilAListedRunOfItsTaskIsOver() {
        mOwner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        List<TaskRun> planned = mOwner.decide().planned();
        TaskRun listed = listUnknownRun(0);
        mOwner.recordStarts(planned);

        Decisions decisions = mOwner.decide();
        assertTrue(decisions.starts().isEmpty());
        assertEquals(decisions.stops(), List.of(listed));

        stop(listed);
        assertEquals(mOwner.decide().starts().size(), 1);
    }

    /** Guards against gang members that start while one of them has to wait. */
    @Test
    public void allStartsOfAGangWaitUntilAListedRunOfAMemberIsOver() {
        TaskStep plain = OwnerHarness.step(2, 1, 1000, List.of());
        TaskStep gang =
                new TaskStep(
                        2,
                        plain.reserved(),
                        1000,
                        List.of(),
                        new PlacementConstraints(true, false, "", "", 0),
                        RunMode.PLAIN);
        mOwner.accept(OwnerHarness.definition(JOB, "surveys", 0, gang));
        List<TaskRun> planned = mOwner.decide().planned();
        assertEquals(planned.size(), 2);
        TaskRun listed = listUnknownRun(1);
        mOwner.recordStarts(planned);

        assertTrue(mOwner.decide().starts().isEmpty());

        stop(listed);
        assertEquals(mOwner.decide().starts().size(), 2);
    }
}
