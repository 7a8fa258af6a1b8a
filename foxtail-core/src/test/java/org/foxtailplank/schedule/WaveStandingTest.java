package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmPhase;
import org.foxtailplank.port.WaveOrder;
import org.testng.annotations.Test;

/**
 * A wave over VMs on each of which one standing task of the same step runs.
 *
 * <p>Operators saw the wave late: 6 of 105 VMs were left at its end. Only two of the tasks may be
 * away at a time, so that they move two by two however many VMs they are on. Cause: the wave waited
 * for quiet moments as if each VM could be emptied for itself.
 */
public class WaveStandingTest {
    private static final int CORES = 8;

    /** More than half a VM, so that each VM has one. */
    private static final int TASK_CORES = 5;

    private static final int TASKS = 24;
    private static final int MAY_MISS = 2;

    /** Time until a task that was taken away is at work elsewhere, in milliseconds. */
    private static final long MOVE_MS = 2000;

    /** Time for the reboot of the last VM, in milliseconds. */
    private static final long LEFT_OVER_MS = 5000;

    /** One second more than the tasks need, two by two. */
    private static final long LEFT_MS = TASKS / MAY_MISS * MOVE_MS + 1000;

    @Test
    public void standingTasksThatMoveTwoByTwoAreBegunWithInTime() {
        Owner owner = new Owner();
        List<VmInfo> vms = new ArrayList<>();
        List<String> wave = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            wave.add(serving(owner, vms, i));
        }
        owner.accept(Owner.order("aa", "surveys", 0, Owner.standing(TASKS, TASK_CORES, MAY_MISS)));
        List<TaskRun> runs = owner.place();
        List.copyOf(owner.mScheduler.workers()).forEach(owner::look);
        for (int i = 0; i < MAY_MISS; i++) {
            serving(owner, vms, TASKS + i);
        }

        VmPlanner planner = new VmPlanner(owner.mScheduler);
        planner.listed(vms, owner.mNowMs);
        WaveOrder order = new WaveOrder(1, wave, LEFT_MS, TASKS);
        DueWave due = new DueWave(order, owner.mNowMs + LEFT_MS);
        planner.decide(owner.mConfig, List.of(due), owner.mBook, true, owner.mNowMs, Owner.WALL_MS);

        assertEquals(runs.size(), TASKS);
        assertEquals(
                runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).count(),
                MAY_MISS,
                "tasks that are on their way elsewhere");
    }

    /** Guards against a wave that empties all other VMs before it begins with standing tasks. */
    @Test
    public void standingTasksThatMoveOneByOneAreBegunWithBeforeOtherWork() {
        int tasks = 6;
        int atOnce = 4;
        Owner owner = new Owner();
        List<VmInfo> vms = new ArrayList<>();
        List<String> wave = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            wave.add(serving(owner, vms, i));
        }
        owner.accept(Owner.order("aa", "surveys", 0, Owner.standing(tasks, TASK_CORES, 1)));
        List<TaskRun> standing = owner.place();
        for (int i = tasks; i < 2 * tasks; i++) {
            wave.add(serving(owner, vms, i));
        }
        owner.accept(Owner.order("bb", "surveys", 0, Owner.step(tasks, CORES, 60_000, List.of())));
        List<TaskRun> others = owner.place();
        serving(owner, vms, 2 * tasks);
        List.copyOf(owner.mScheduler.workers()).forEach(owner::look);

        VmPlanner planner = new VmPlanner(owner.mScheduler);
        planner.listed(vms, owner.mNowMs);
        WaveOrder order = new WaveOrder(1, wave, tasks * MOVE_MS + LEFT_OVER_MS, atOnce);
        DueWave due = new DueWave(order, owner.mNowMs + order.durationMs());
        planner.decide(owner.mConfig, List.of(due), owner.mBook, true, owner.mNowMs, Owner.WALL_MS);

        assertEquals(others.size(), tasks);
        assertEquals(stopping(standing), 1, "standing tasks on their way elsewhere");
        long emptied = owner.mScheduler.workers().stream().filter(WorkerState::isVacating).count();
        assertTrue(emptied > 1 && emptied <= atOnce, emptied + " workers are emptied");
    }

    private static long stopping(List<TaskRun> runs) {
        return runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).count();
    }

    /** A VM that serves; returns its ID. */
    private static String serving(Owner owner, List<VmInfo> vms, int number) {
        String vm = "vm" + number;
        String worker = "w" + number;
        owner.worker(worker, "surveys", CORES);
        vms.add(new VmInfo(vm, "surveys", VmPhase.UP, worker, Resources.of(CORES, 1L << 40, 0)));
        return vm;
    }
}
