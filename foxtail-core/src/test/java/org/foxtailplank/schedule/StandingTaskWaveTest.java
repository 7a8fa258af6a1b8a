package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.Test;

/**
 * Tests a wave over VMs that each run one standing task of the same step.
 *
 * <p>Guards against a wave that misses its deadline because it treats the moves as independent,
 * while the step's availability budget serializes them.
 */
public class StandingTaskWaveTest {
    private static final int CORES = 8;

    /** More than half a VM, so that each VM runs one task. */
    private static final int TASK_CORES = 5;

    private static final int TASKS = 24;
    private static final int MAX_UNAVAILABLE = 2;

    /** Time from stopping a task until it is ready elsewhere, in milliseconds. */
    private static final long MOVE_MS = 2000;

    /** Time for the last reboot, in milliseconds. */
    private static final long REBOOT_MS = 5000;

    /** Time that the tasks need to move in pairs, and one second more. */
    private static final long LEFT_MS = TASKS / MAX_UNAVAILABLE * MOVE_MS + 1000;

    @Test
    public void standingTasksThatMoveInPairsStartInTime() {
        OwnerHarness owner = new OwnerHarness();
        List<VmInfo> vms = new ArrayList<>();
        List<String> wave = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            wave.add(addServingVm(owner, vms, i));
        }
        owner.accept(
                OwnerHarness.definition(
                        "aa",
                        "surveys",
                        0,
                        OwnerHarness.standing(TASKS, TASK_CORES, MAX_UNAVAILABLE)));
        List<TaskRun> runs = owner.placeTasks();
        List.copyOf(owner.mScheduler.workers()).forEach(owner::poll);
        for (int i = 0; i < MAX_UNAVAILABLE; i++) {
            addServingVm(owner, vms, TASKS + i);
        }

        VmPlanner planner = new VmPlanner(owner.mScheduler);
        planner.applyList(vms, owner.mNowMs);
        MaintenanceWave maintenance = new MaintenanceWave(1, wave, LEFT_MS, TASKS);
        DueWave due = new DueWave(maintenance, owner.mNowMs + LEFT_MS);
        planner.decide(
                owner.mConfig,
                List.of(due),
                owner.mRegistry,
                true,
                owner.mNowMs,
                OwnerHarness.WALL_MS);

        assertEquals(runs.size(), TASKS);
        assertEquals(
                runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).count(),
                MAX_UNAVAILABLE,
                "tasks that are being moved");
    }

    /**
     * Guards against a wave that evacuates all other VMs before it starts to move standing tasks.
     */
    @Test
    public void standingTasksThatMoveOneByOneStartBeforeOtherWork() {
        int tasks = 6;
        int maxDown = 4;
        OwnerHarness owner = new OwnerHarness();
        List<VmInfo> vms = new ArrayList<>();
        List<String> wave = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            wave.add(addServingVm(owner, vms, i));
        }
        owner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.standing(tasks, TASK_CORES, 1)));
        List<TaskRun> standing = owner.placeTasks();
        for (int i = tasks; i < 2 * tasks; i++) {
            wave.add(addServingVm(owner, vms, i));
        }
        owner.accept(
                OwnerHarness.definition(
                        "bb", "surveys", 0, OwnerHarness.step(tasks, CORES, 60_000, List.of())));
        List<TaskRun> others = owner.placeTasks();
        addServingVm(owner, vms, 2 * tasks);
        List.copyOf(owner.mScheduler.workers()).forEach(owner::poll);

        VmPlanner planner = new VmPlanner(owner.mScheduler);
        planner.applyList(vms, owner.mNowMs);
        MaintenanceWave maintenance =
                new MaintenanceWave(1, wave, tasks * MOVE_MS + REBOOT_MS, maxDown);
        DueWave due = new DueWave(maintenance, owner.mNowMs + maintenance.durationMs());
        planner.decide(
                owner.mConfig,
                List.of(due),
                owner.mRegistry,
                true,
                owner.mNowMs,
                OwnerHarness.WALL_MS);

        assertEquals(others.size(), tasks);
        assertEquals(countStopping(standing), 1, "standing tasks being moved");
        long evacuating =
                owner.mScheduler.workers().stream().filter(WorkerState::isEvacuating).count();
        assertTrue(
                evacuating > 1 && evacuating <= maxDown,
                evacuating + " workers are being evacuated");
    }

    /** Guards against a wave that moves a task onto a VM from which it has to move again. */
    @Test
    public void tasksMoveToVmsThatNeedNoReboot() {
        OwnerHarness owner = new OwnerHarness();
        List<VmInfo> vms = new ArrayList<>();
        List<String> wave = new ArrayList<>();
        wave.add(addServingVm(owner, vms, 0));
        owner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.standing(1, TASK_CORES, 1)));
        TaskRun first = owner.placeTasks().get(0);
        wave.add(addServingVm(owner, vms, 1));
        addServingVm(owner, vms, 2);
        owner.poll(first.worker());

        VmPlanner planner = new VmPlanner(owner.mScheduler);
        planner.applyList(vms, owner.mNowMs);
        MaintenanceWave maintenance = new MaintenanceWave(1, wave, LEFT_MS, 1);
        DueWave due = new DueWave(maintenance, owner.mNowMs);
        planner.decide(
                owner.mConfig,
                List.of(due),
                owner.mRegistry,
                true,
                owner.mNowMs,
                OwnerHarness.WALL_MS);
        owner.mScheduler.runs().removeRun(first);
        List<TaskRun> again = owner.placeTasks();

        assertEquals(again.size(), 1);
        assertEquals(again.get(0).worker().id(), "w2");
    }

    private static long countStopping(List<TaskRun> runs) {
        return runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).count();
    }

    /** Adds a VM with a worker; returns its ID. */
    private static String addServingVm(OwnerHarness owner, List<VmInfo> vms, int number) {
        String vm = "vm" + number;
        String worker = "w" + number;
        owner.addWorker(worker, "surveys", CORES);
        vms.add(new VmInfo(vm, "surveys", VmPhase.UP, worker, Resources.of(CORES, 1L << 40, 0)));
        return vm;
    }
}
