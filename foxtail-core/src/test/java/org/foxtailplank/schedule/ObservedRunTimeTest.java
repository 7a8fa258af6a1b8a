package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.definition;
import static org.foxtailplank.schedule.OwnerHarness.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.RunStatus;
import org.testng.annotations.Test;

/** Tests that run times are expected as the first runs of a step show them. */
public class ObservedRunTimeTest {
    private final OwnerHarness mOwner = new OwnerHarness();

    @Test
    public void theEstimateCountsUntilARunShowsProgress() {
        ObservedRunTime runTime = new ObservedRunTime();
        runTime.recordProgress(50, 90);
        runTime.recordProgress(400, 2);
        assertEquals(runTime.expectedMs(1000), 1000);
        runTime.recordProgress(400, 10);
        assertEquals(runTime.expectedMs(1000), 4000);
    }

    /** Guards against a slow worker that makes all tasks of a step look long. */
    @Test
    public void theFastestRunCounts() {
        ObservedRunTime runTime = new ObservedRunTime();
        runTime.recordProgress(400, 10);
        runTime.recordProgress(400, 40);

        assertEquals(runTime.expectedMs(5000), 1000);
    }

    @Test
    public void completedRunsReplaceProjections() {
        ObservedRunTime runTime = new ObservedRunTime();
        runTime.recordProgress(400, 10);
        runTime.recordEnd(900);
        runTime.recordEnd(1100);

        assertEquals(runTime.expectedMs(5000), 1000);
    }

    private ActiveRun startJob(String id, long estimateMs) {
        mOwner.addWorker("w" + id, "surveys", 4);
        mOwner.accept(definition(id, "surveys", 0, step(4, 1, estimateMs, List.of())));
        List<TaskRun> runs = mOwner.placeTasks();
        mOwner.mNowMs += 499;
        List<RunStatus> listed =
                runs.stream()
                        .map(r -> new RunStatus(r.task().name(), r.attempt(), "", 25, 0))
                        .toList();
        mOwner.pollListing(runs.get(0).worker(), listed, List.of());
        return runs.get(0).task().step().run();
    }

    /** Guards against a job that counts as late, and is put last, since its estimate is too low. */
    @Test
    public void theObjectiveFollowsTheRunTimeThatRunsShow() {
        ActiveRun run = startJob("a", 200);

        assertEquals(run.criticalPathMs(), 2000);
        assertEquals(run.remainingCriticalPathMs(), 1500);
        assertEquals(UrgencyOrder.objectiveMs(run), OwnerHarness.WALL_MS + 3200 + 600);
        assertFalse(CoreDemand.isLate(run, OwnerHarness.WALL_MS + 2000));
        assertTrue(CoreDemand.isLate(run, OwnerHarness.WALL_MS + 2400));
    }

    @Test
    public void aTaskThatIsDoneLeavesNoTime() {
        ActiveRun run = startJob("b", 1000);
        for (TaskRun r : List.copyOf(mOwner.mScheduler.worker("wb").get().runs())) {
            mOwner.endRun(r, RunOutcome.DONE, r.task().name().index() + 1);
        }

        assertEquals(run.remainingCriticalPathMs(), 0);
    }
}
