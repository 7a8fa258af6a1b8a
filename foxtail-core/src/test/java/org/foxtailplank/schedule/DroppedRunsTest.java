package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.CommandOutcome;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what an owner says of runs that it drops without a report of their workers. */
public class DroppedRunsTest {
    private static final String JOB = "00000000000000aa";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mOwner.addWorker("w1", "surveys", 8);
    }

    private JobProgress accept() {
        return mOwner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
    }

    private static List<DroppedRun> dropped(String why) {
        return List.of(new DroppedRun(TASK, 1, "w1", why));
    }

    @Test
    public void aStartOfAJobThatEndedWhileItWasRecordedIsNamed() {
        accept();
        List<TaskRun> planned = mOwner.decide().planned();
        mOwner.mScheduler.jobEnded(JOB, mOwner.mNowMs);
        mOwner.recordStarts(planned);

        assertEquals(mOwner.mScheduler.takeDropped(), dropped("its job is ending"));
        assertEquals(mOwner.mScheduler.takeDropped(), List.of());
    }

    @Test
    public void aPlannedStartThatIsWithdrawnInAnOutageOfTheStoreIsNamed() {
        accept();
        mOwner.decide();
        mOwner.mScheduler.setStoreAvailable(false);
        mOwner.decide();

        assertEquals(mOwner.mScheduler.takeDropped(), dropped("the store takes no records"));
    }

    @Test
    public void aRefusedStartIsNamedWithItsOutcome() {
        accept();
        mOwner.recordStarts(mOwner.decide().planned());
        TaskRun run = mOwner.decide().starts().get(0).run();
        mOwner.mScheduler.startAnswered(run, CommandOutcome.NO_ROOM, mOwner.mNowMs);

        assertEquals(
                mOwner.mScheduler.takeDropped(), dropped("the start was answered with NO_ROOM"));
    }

    @Test
    public void aStartThatAnotherIncarnationAnsweredIsNamed() {
        accept();
        mOwner.recordStarts(mOwner.decide().planned());
        TaskRun run = mOwner.decide().starts().get(0).run();
        mOwner.mScheduler.startAnswered(run, CommandOutcome.OTHER_LIFE, mOwner.mNowMs);

        assertEquals(
                mOwner.mScheduler.takeDropped(), dropped("the start was answered with OTHER_LIFE"));
    }

    /** Guards against two reasons for the end of one run. */
    @Test
    public void aStartThatIsAnsweredAfterItsWorkerEndedIsNotDropped() {
        accept();
        mOwner.recordStarts(mOwner.decide().planned());
        TaskRun run = mOwner.decide().starts().get(0).run();
        mOwner.crash("w1");
        mOwner.mScheduler.startAnswered(run, CommandOutcome.OTHER_LIFE, mOwner.mNowMs);

        assertEquals(mOwner.mScheduler.takeDropped(), List.of());
    }

    @Test
    public void aRunThatEndsIsNotDropped() {
        accept();
        mOwner.endRun(mOwner.placeTasks().get(0), RunOutcome.DONE, 1);

        assertEquals(mOwner.mScheduler.takeDropped(), List.of());
    }

    @Test
    public void aNewOwnerNamesAStartWhoseWorkerHasEnded() {
        JobProgress job = accept();
        mOwner.placeTasks();
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mScheduler.addInheritedJob(job, w -> true, next.mNowMs);

        assertEquals(
                next.mScheduler.takeNotInherited(), dropped("its worker's incarnation has ended"));
    }

    @Test
    public void aNewOwnerNamesAStartWhoseEndIsRecorded() {
        JobProgress job = accept();
        mOwner.endRun(mOwner.placeTasks().get(0), RunOutcome.FAILED, 1);
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mScheduler.addInheritedJob(job, w -> false, next.mNowMs);

        assertEquals(next.mScheduler.takeNotInherited(), dropped("its end is recorded"));
    }

    /** Guards against a takeover that logs each task that was ever started. */
    @Test
    public void aNewOwnerDoesNotNameStartsOfDoneTasks() {
        JobProgress job =
                mOwner.accept(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.step(2, 1, 1000, List.of())));
        List<TaskRun> runs = mOwner.placeTasks();
        mOwner.endRun(runs.get(0), RunOutcome.DONE, 1);
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        next.mScheduler.addInheritedJob(job, w -> false, next.mNowMs);

        assertEquals(next.mScheduler.takeNotInherited(), List.of());
    }
}
