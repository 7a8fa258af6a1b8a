package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.testng.annotations.Test;

/** Tests which of several workers with room gets a task. */
public class BestFitTest {
    private static final long GB = 1L << 30;

    private final OwnerHarness mOwner = new OwnerHarness();
    private int mJobs;

    /** Starts a task on any worker, or on those of a rack; returns the worker's ID. */
    private String place(long milliCores, long memoryGb, String rack) {
        TaskStep step =
                new TaskStep(
                        1,
                        new Resources(milliCores, memoryGb * GB, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(false, false, rack, "", 0),
                        RunMode.PLAIN);
        mJobs++;
        mOwner.accept(OwnerHarness.definition("job" + mJobs, "surveys", 0, step));
        return mOwner.placeTasks().get(0).worker().id();
    }

    @Test
    public void aSmallTaskLeavesMemoryForALargeOne() {
        // Guards against choosing the worker with the fewest free cores, whose memory is free.
        Resources capacity = Resources.of(16, 64 * GB, 0);
        mOwner.addWorker("w1", "surveys", capacity, "r1", "zone");
        mOwner.addWorker("w2", "surveys", capacity, "r2", "zone");
        place(2000, 40, "r1");
        place(3000, 2, "r2");

        assertEquals(place(1000, 8, ""), "w1");
        assertEquals(place(2000, 60, ""), "w2");
    }
}
