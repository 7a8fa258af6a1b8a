package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.CORE;
import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.admission.QueueCapacity.Joining;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which jobs can meet their objectives together, by what can start in time. */
public class OnTimeSelectionTest {
    private static final int CORES = 8;
    private static final long TASK_MS = 1000;

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
    }

    /** Accepts jobs whose tasks fill the cores once; they have to start within 1.2 s. */
    private void acceptJobs(int count) {
        for (int i = 0; i < count; i++) {
            String id = "job" + mOwner.mScheduler.runs().jobs().size();
            mOwner.accept(
                    OwnerHarness.definition(
                            id, "surveys", 0, OwnerHarness.step(CORES, 1, TASK_MS, List.of())));
        }
    }

    private int countInTime(PoolCapacity capacity) {
        List<ActiveRun> runs = new ArrayList<>();
        mOwner.mScheduler.runs().jobs().forEach(j -> runs.add(j.runs().get(0)));
        return new OnTimeSelection(capacity, OrganisationCaps.NONE, OwnerHarness.WALL_MS)
                .select(runs)
                .size();
    }

    @Test
    public void idleWorkersCanDoOneJobAfterTheOther() {
        acceptJobs(6);

        assertEquals(countInTime(PoolCapacity.of(CORES * CORE)), 2);
    }

    /** Guards against jobs that start in time only on paper, since all cores are in use. */
    @Test
    public void coresInUseCountFromTheEndsOfTheirTasks() {
        mOwner.addWorker("w1", "surveys", CORES);
        acceptJobs(1);
        mOwner.placeTasks();
        acceptJobs(6);

        // The one that runs, and none of the others, half of whose time to start is over then.
        assertEquals(countInTime(PoolCapacity.of(CORES * CORE)), 1);
    }

    /** Guards against the jobs of a turn's first seconds being left out until its VMs join. */
    @Test
    public void vmsThatJoinInTimeCount() {
        acceptJobs(6);
        List<Joining> inTime = List.of(new Joining(500, CORES * CORE));
        List<Joining> tooLate = List.of(new Joining(1500, CORES * CORE));

        assertEquals(countInTime(new PoolCapacity(0, inTime)), 1);
        assertEquals(countInTime(new PoolCapacity(0, tooLate)), 0);
    }
}
