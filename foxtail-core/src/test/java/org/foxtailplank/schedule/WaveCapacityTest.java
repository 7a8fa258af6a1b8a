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
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how capacity is provided for standing tasks whose VMs a wave reboots. */
public class WaveCapacityTest {
    private static final int CORES = 8;
    private static final int TASK_CORES = 5;
    private static final long LEFT_MS = 10_000;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
    }

    private WorkerState addServingVm(String number, String pool) {
        Resources room = Resources.of(CORES, 1L << 40, 0);
        mVms.add(new VmInfo("vm" + number, pool, VmPhase.UP, "w" + number, room));
        return mOwner.addWorker("w" + number, pool, CORES);
    }

    private static TaskStep onePerWorker(int tasks) {
        return new TaskStep(
                tasks,
                Resources.of(TASK_CORES, 1, 0),
                500,
                List.of(),
                new PlacementConstraints(false, false, "", "", 1),
                new RunMode(false, true, false, false, 0, 1));
    }

    private void pollAll() {
        List.copyOf(mOwner.mScheduler.workers()).forEach(mOwner::poll);
    }

    private void decide(String... vms) {
        mOwner.mNowMs += 100;
        mPlanner.applyList(mVms, mOwner.mNowMs);
        MaintenanceWave wave = new MaintenanceWave(1, List.of(vms), LEFT_MS, vms.length);
        DueWave due = new DueWave(wave, mOwner.mNowMs + LEFT_MS);
        mPlanner.decide(
                mOwner.mConfig,
                List.of(due),
                mOwner.mRegistry,
                true,
                mOwner.mNowMs,
                OwnerHarness.WALL_MS);
    }

    /**
     * Guards against a wave delayed by batch tasks that take all capacity as soon as it is freed.
     */
    @Test
    public void aStandingTaskGetsTheCapacityThatBatchTasksFree() {
        addServingVm("0", "surveys");
        mOwner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.standing(1, TASK_CORES, 1)));
        TaskRun standing = mOwner.placeTasks().get(0);
        pollAll();
        WorkerState fullWorker = addServingVm("1", "surveys");
        mOwner.accept(
                OwnerHarness.definition(
                        "bb", "surveys", 0, OwnerHarness.step(60, 1, 1000, List.of())));
        mOwner.placeTasks();
        pollAll();
        assertEquals(fullWorker.free().milliProcessors(), 0);

        decide("vm0");
        for (int i = 1; i <= TASK_CORES; i++) {
            TaskRun first = fullWorker.runs().iterator().next();
            mOwner.endRun(first, RunOutcome.DONE, i);
            mOwner.placeTasks();
            decide("vm0");
        }

        assertEquals(standing.phase(), RunPhase.STOPPING);
    }

    /** Guards against a reserved VM that moves to another pool before the task has moved there. */
    @Test
    public void aVmReservedForAStandingTaskIsNotMoved() {
        addServingVm("0", "surveys");
        mOwner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.standing(1, TASK_CORES, 1)));
        mOwner.placeTasks();
        for (int i = 1; i < 4; i++) {
            addServingVm(Integer.toString(i), "surveys");
        }
        addServingVm("4", "reports");
        mOwner.accept(
                OwnerHarness.definition(
                        "bb", "reports", 0, OwnerHarness.step(200, 1, 1000, List.of())));
        mOwner.placeTasks();
        pollAll();
        mOwner.mNowMs += 5000;
        pollAll();

        decide("vm0");

        List<WorkerState> moving = new ArrayList<>(mOwner.mScheduler.workersOf("surveys"));
        moving.removeIf(w -> !w.isEvacuating() || w.hasStandingRuns());
        assertEquals(moving.size(), 2);
        assertTrue(moving.stream().noneMatch(WorkerState::isReservedForStanding));
    }

    /** Guards against a wave delayed because all pools with VMs to move are busy. */
    @Test
    public void aStandingTaskThatNoWorkerAdmitsGetsAVmOfABusyPool() {
        addServingVm("0", "surveys");
        addServingVm("1", "surveys");
        mOwner.accept(OwnerHarness.definition("aa", "surveys", 0, onePerWorker(2)));
        assertEquals(mOwner.placeTasks().size(), 2);
        for (int i = 2; i < 8; i++) {
            addServingVm(Integer.toString(i), "reports");
        }
        mOwner.accept(
                OwnerHarness.definition(
                        "bb", "reports", 0, OwnerHarness.step(200, 1, 1000, List.of())));
        mOwner.placeTasks();
        pollAll();
        mOwner.mNowMs += 5000;
        pollAll();

        decide("vm0");
        decide("vm0");

        long moving =
                mOwner.mScheduler.workersOf("reports").stream()
                        .filter(WorkerState::isEvacuating)
                        .count();
        assertTrue(moving >= 1, moving + " VMs are moving");
    }

    /** Guards against two tasks that are stopped for one place, so that one of them stays down. */
    @Test
    public void aPlaceIsTakenByOnlyOneTask() {
        addServingVm("0", "surveys");
        addServingVm("1", "surveys");
        mOwner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.standing(1, TASK_CORES, 1)));
        mOwner.accept(
                OwnerHarness.definition(
                        "bb", "surveys", 0, OwnerHarness.standing(1, TASK_CORES, 1)));
        List<TaskRun> standing = mOwner.placeTasks();
        pollAll();
        addServingVm("2", "surveys");
        assertEquals(standing.size(), 2);

        decide("vm0", "vm1");
        decide("vm0", "vm1");

        assertEquals(standing.stream().filter(r -> r.phase() == RunPhase.STOPPING).count(), 1);
    }

    /** Guards against moves that each wait for a VM that is requested only when needed. */
    @Test
    public void vmsForTheNextMovesAreRequestedInAdvance() {
        int tasks = 5;
        for (int i = 0; i < tasks; i++) {
            addServingVm(Integer.toString(i), "surveys");
        }
        mOwner.accept(OwnerHarness.definition("aa", "surveys", 0, onePerWorker(tasks)));
        assertEquals(mOwner.placeTasks().size(), tasks);
        for (int i = tasks; i < tasks + 8; i++) {
            addServingVm(Integer.toString(i), "reports");
        }
        pollAll();
        mOwner.mNowMs += 5000;
        pollAll();

        decide("vm0", "vm1", "vm2", "vm3", "vm4");

        long moving =
                mOwner.mScheduler.workersOf("reports").stream()
                        .filter(WorkerState::isEvacuating)
                        .count();
        assertEquals(moving, 3);
    }
}
