package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementRule;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmPhase;
import org.foxtailplank.port.WaveOrder;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Where the standing tasks go whose VMs a wave empties. */
public class WavePlacesTest {
    private static final int CORES = 8;
    private static final int TASK_CORES = 5;
    private static final long LEFT_MS = 10_000;

    private Owner mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new Owner();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
    }

    private WorkerState serving(String number, String pool) {
        Resources room = Resources.of(CORES, 1L << 40, 0);
        mVms.add(new VmInfo("vm" + number, pool, VmPhase.UP, "w" + number, room));
        return mOwner.worker("w" + number, pool, CORES);
    }

    private static TaskStep oneOnEachWorker(int tasks) {
        return new TaskStep(
                tasks,
                Resources.of(TASK_CORES, 1, 0),
                500,
                List.of(),
                new PlacementRule(false, false, "", "", 1),
                new RunMode(false, true, false, false, 0, 1));
    }

    private void lookAtAll() {
        List.copyOf(mOwner.mScheduler.workers()).forEach(mOwner::look);
    }

    private void decide(String... vms) {
        mOwner.mNowMs += 100;
        mPlanner.listed(mVms, mOwner.mNowMs);
        WaveOrder order = new WaveOrder(1, List.of(vms), LEFT_MS, vms.length);
        DueWave due = new DueWave(order, mOwner.mNowMs + LEFT_MS);
        mPlanner.decide(
                mOwner.mConfig, List.of(due), mOwner.mBook, true, mOwner.mNowMs, Owner.WALL_MS);
    }

    /** Guards against a wave that waits for room which waiting jobs take as soon as it is free. */
    @Test
    public void aStandingTaskOfAWaveGetsTheRoomThatTasksLeaveOnAFullWorker() {
        serving("0", "surveys");
        mOwner.accept(Owner.order("aa", "surveys", 0, Owner.standing(1, TASK_CORES, 1)));
        TaskRun standing = mOwner.place().get(0);
        lookAtAll();
        WorkerState full = serving("1", "surveys");
        mOwner.accept(Owner.order("bb", "surveys", 0, Owner.step(60, 1, 1000, List.of())));
        mOwner.place();
        lookAtAll();
        assertEquals(full.free().milliProcessors(), 0);

        decide("vm0");
        for (int i = 1; i <= TASK_CORES; i++) {
            TaskRun first = full.runs().iterator().next();
            mOwner.end(first, RunOutcome.DONE, i);
            mOwner.place();
            decide("vm0");
        }

        assertEquals(standing.phase(), RunPhase.STOPPING);
    }

    /** Guards against a place that goes to another pool before the task has moved there. */
    @Test
    public void aVmThatIsKeptForAStandingTaskIsNotLent() {
        serving("0", "surveys");
        mOwner.accept(Owner.order("aa", "surveys", 0, Owner.standing(1, TASK_CORES, 1)));
        mOwner.place();
        for (int i = 1; i < 4; i++) {
            serving(Integer.toString(i), "surveys");
        }
        serving("4", "reports");
        mOwner.accept(Owner.order("bb", "reports", 0, Owner.step(200, 1, 1000, List.of())));
        mOwner.place();
        lookAtAll();
        mOwner.mNowMs += 5000;
        lookAtAll();

        decide("vm0");

        List<WorkerState> lent = new ArrayList<>(mOwner.mScheduler.workersOf("surveys"));
        lent.removeIf(w -> !w.isVacating() || w.hasStanding());
        assertEquals(lent.size(), 2);
        assertTrue(lent.stream().noneMatch(WorkerState::isKept));
    }

    /** Guards against a wave that waits for a VM which pools with long queues never give. */
    @Test
    public void aStandingTaskThatNoWorkerAdmitsGetsAVmOfABusyPool() {
        serving("0", "surveys");
        serving("1", "surveys");
        mOwner.accept(Owner.order("aa", "surveys", 0, oneOnEachWorker(2)));
        assertEquals(mOwner.place().size(), 2);
        for (int i = 2; i < 8; i++) {
            serving(Integer.toString(i), "reports");
        }
        mOwner.accept(Owner.order("bb", "reports", 0, Owner.step(200, 1, 1000, List.of())));
        mOwner.place();
        lookAtAll();
        mOwner.mNowMs += 5000;
        lookAtAll();

        decide("vm0");
        decide("vm0");

        long lent =
                mOwner.mScheduler.workersOf("reports").stream()
                        .filter(WorkerState::isVacating)
                        .count();
        assertTrue(lent >= 1, lent + " VMs are lent");
    }

    /** Guards against two tasks that are stopped for the same place, of which one stays away. */
    @Test
    public void aPlaceIsTakenByOneOfTheTasksThatWaitForIt() {
        serving("0", "surveys");
        serving("1", "surveys");
        mOwner.accept(Owner.order("aa", "surveys", 0, Owner.standing(1, TASK_CORES, 1)));
        mOwner.accept(Owner.order("bb", "surveys", 0, Owner.standing(1, TASK_CORES, 1)));
        List<TaskRun> standing = mOwner.place();
        lookAtAll();
        serving("2", "surveys");
        assertEquals(standing.size(), 2);

        decide("vm0", "vm1");
        decide("vm0", "vm1");

        assertEquals(standing.stream().filter(r -> r.phase() == RunPhase.STOPPING).count(), 1);
    }

    /** Guards against moves that each wait for a VM which is only asked for when it is needed. */
    @Test
    public void vmsForTheNextMovesAreAskedForInAdvance() {
        int tasks = 5;
        for (int i = 0; i < tasks; i++) {
            serving(Integer.toString(i), "surveys");
        }
        mOwner.accept(Owner.order("aa", "surveys", 0, oneOnEachWorker(tasks)));
        assertEquals(mOwner.place().size(), tasks);
        for (int i = tasks; i < tasks + 8; i++) {
            serving(Integer.toString(i), "reports");
        }
        lookAtAll();
        mOwner.mNowMs += 5000;
        lookAtAll();

        decide("vm0", "vm1", "vm2", "vm3", "vm4");

        long lent =
                mOwner.mScheduler.workersOf("reports").stream()
                        .filter(WorkerState::isVacating)
                        .count();
        assertEquals(lent, 3);
    }
}
