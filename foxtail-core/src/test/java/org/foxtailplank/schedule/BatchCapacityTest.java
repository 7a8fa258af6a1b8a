package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the capacity for batch tasks where cores, memory or accelerators are scarce. */
public class BatchCapacityTest {
    private static final long GB = 1L << 30;
    private static final Resources VM = Resources.of(16, 64 * GB, 0);
    private static final String STANDING = "00000000000000aa";
    private static final String BATCH = "00000000000000bb";

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
    }

    private static BatchCapacity ofTasks(Resources demand) {
        return new BatchCapacity(demand, demand.accelerators() > 0);
    }

    @Test
    public void whereCoresAreScarceTheCapacityIsTheCoresLeft() {
        // Figures whose quotients are not exact, so that a calculation with ratios would round.
        BatchCapacity capacity = ofTasks(new Resources(3333, 7 * GB, 0));

        assertEquals(capacity.milliCores(new Resources(9_997, 63 * GB, 0)), 9_997);
        assertEquals(capacity.milliCores(new Resources(-2_000, 63 * GB, 0)), -2_000);
        assertEquals(BatchCapacity.CORES.milliCores(new Resources(7_000, 0, 0)), 7_000);
    }

    @Test
    public void whereMemoryIsScarceTheCapacityIsThatOfTheTasksThatFit() {
        BatchCapacity capacity = ofTasks(new Resources(3_000, 8 * GB, 0));

        assertEquals(capacity.milliCores(new Resources(7_000, 4 * GB, 0)), 1_500);
        assertEquals(capacity.milliCores(new Resources(7_000, -GB, 0)), 0);
    }

    @Test
    public void acceleratorsCountOnWorkersThatHaveThemAndWhereAllTasksNeedThem() {
        BatchCapacity some = new BatchCapacity(new Resources(8_000, 0, 1), false);
        BatchCapacity all = new BatchCapacity(new Resources(8_000, 0, 4), true);

        assertEquals(some.milliCores(Resources.of(16, 0, 0)), 16_000);
        assertEquals(some.milliCores(Resources.of(16, 0, 1)), 8_000);
        assertEquals(all.milliCores(Resources.of(16, 0, 0)), 0);
        assertEquals(all.milliCores(Resources.of(16, 0, 2)), 4_000);
    }

    private static TaskStep batch(int tasks) {
        return new TaskStep(
                tasks,
                new Resources(2_000, 8 * GB, 0),
                1000,
                List.of(),
                PlacementConstraints.ANYWHERE,
                RunMode.PLAIN);
    }

    private static TaskStep standing(int tasks, int maxPerWorker) {
        return new TaskStep(
                tasks,
                new Resources(2_000, 24 * GB, 0),
                500,
                List.of(),
                new PlacementConstraints(false, false, "", "", maxPerWorker),
                new RunMode(false, true, false, false, 0, 2));
    }

    private PoolLoad load() {
        return mOwner.mScheduler.loads(mOwner.mConfig, mOwner.mNowMs, OwnerHarness.WALL_MS).get(0);
    }

    @Test
    public void theLoadCountsCoresThatBatchTasksCanUseAndKeepsTheDemandOfTheLastOnes() {
        mOwner.addWorker("w1", "surveys", VM, "r1", "zone");
        mOwner.accept(OwnerHarness.definition(STANDING, "surveys", 0, standing(2, 0)));
        mOwner.placeTasks();
        PoolLoad before = load();
        mOwner.accept(OwnerHarness.definition(BATCH, "surveys", 0, batch(1)));
        List<TaskRun> runs = mOwner.placeTasks();
        PoolLoad during = load();
        mOwner.endRun(runs.get(0), RunOutcome.DONE, 1);
        mOwner.decide();

        assertEquals(before.batchCapacity(), 12, "without known tasks cores count");
        assertEquals(during.batchCapacity(), 4, "16 GB for tasks of 8 GB");
        assertEquals(load().batchCapacity(), 4, "the last task's demand counts");
    }

    private long plannedMoves() {
        VmPlanner planner = new VmPlanner(mOwner.mScheduler);
        List<VmInfo> vms = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            vms.add(new VmInfo("vm" + i, "surveys", VmPhase.UP, "w" + i, VM));
        }
        for (int i = 4; i < 16; i++) {
            vms.add(new VmInfo("vm" + i, "off", VmPhase.UP, "", VM));
        }
        planner.applyList(vms, mOwner.mNowMs);
        return planner.decide(
                        mOwner.mConfig,
                        List.of(),
                        mOwner.mRegistry,
                        true,
                        mOwner.mNowMs,
                        OwnerHarness.WALL_MS)
                .actions()
                .size();
    }

    @Test
    public void aPoolWhoseMemoryIsFullRequestsVmsForItsBatchTasks() {
        // Guards against counting the 12 cores that the standing tasks leave on each VM.
        for (int i = 0; i < 4; i++) {
            mOwner.addWorker("w" + i, "surveys", VM, "r1", "zone");
        }
        mOwner.accept(OwnerHarness.definition(STANDING, "surveys", 0, standing(8, 2)));
        mOwner.placeTasks();
        mOwner.accept(OwnerHarness.definition(BATCH, "surveys", 0, batch(24)));
        mOwner.mNowMs += 1000;

        // 48 cores and 10% are needed and 16 can be used, as 16 GB are left on each VM.
        assertTrueBetween(plannedMoves(), 2, 5);
    }

    @Test
    public void standingTasksGetVmsForTheirMemory() {
        // Guards against requesting one VM for four tasks of which memory admits two.
        for (int i = 0; i < 4; i++) {
            mOwner.addWorker("w" + i, "surveys", VM, "r1", "zone");
        }
        mOwner.accept(OwnerHarness.definition(STANDING, "surveys", 0, standing(16, 4)));
        mOwner.placeTasks();
        mOwner.placeTasks();

        assertEquals(plannedMoves(), 4, "8 of 16 tasks wait, two fit on a VM");
    }

    private static void assertTrueBetween(long actual, long least, long most) {
        assertTrue(actual >= least && actual <= most, "VMs: " + actual);
    }
}
