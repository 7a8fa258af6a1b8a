package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.PlacementRule;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmOutcome;
import org.foxtailplank.port.VmActions.VmPhase;
import org.foxtailplank.port.WaveOrder;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.foxtailplank.schedule.VmPlanner.VmDecisions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Which VMs are rebooted and moved, and when. */
public class VmPlannerTest {
    private static final int CORES = 8;

    private Owner mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new Owner();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
    }

    private void vm(String id, String pool, VmPhase phase, String worker) {
        mVms.add(new VmInfo(id, pool, phase, worker, Resources.of(CORES, 1L << 40, 0)));
    }

    private WorkerState serving(String number, String pool) {
        vm("vm" + number, pool, VmPhase.UP, "w" + number);
        return mOwner.worker("w" + number, pool, CORES);
    }

    private VmDecisions decide(DueWave... waves) {
        mOwner.mNowMs += 10;
        mPlanner.listed(mVms, mOwner.mNowMs);
        return mPlanner.decide(
                mOwner.mConfig, List.of(waves), mOwner.mBook, true, mOwner.mNowMs, Owner.WALL_MS);
    }

    private DueWave wave(int atOnce, long leftMs, String... vms) {
        WaveOrder order = new WaveOrder(1, List.of(vms), leftMs, atOnce);
        return new DueWave(order, mOwner.mNowMs + leftMs);
    }

    @Test
    public void noMoreVmsAreDownAtATimeThanTheWaveAllows() {
        for (String n : List.of("1", "2", "3")) {
            serving(n, "surveys");
        }
        DueWave wave = wave(1, 30_000, "vm1", "vm2", "vm3");

        List<Call> first = decide(wave).actions();
        mPlanner.answered(first.get(0), VmOutcome.DONE, mOwner.mNowMs);
        String vm = first.get(0).vm().id();
        mOwner.mBook.apply(new VmRebooted(1, vm));
        mVms.removeIf(v -> v.id().equals(vm));
        vm(vm, "surveys", VmPhase.REBOOTING, "");
        List<Call> second = decide(wave).actions();

        assertEquals(first.size(), 1);
        assertTrue(second.isEmpty(), "the first one is not back yet");
    }

    @Test
    public void aVmThatMovesAfterItsRebootDoesNotHoldUpTheWave() {
        // Operators see a wave late although VMs stood idle: VMs that had had their reboot and
        // moved to another pool were taken for being down, and used up what may be down at a time.
        serving("1", "surveys");
        vm("vm2", "surveys", VmPhase.MOVING, "");
        mOwner.mBook.apply(new VmRebooted(1, "vm2"));

        List<Call> calls = decide(wave(1, 5_000, "vm1", "vm2")).actions();

        assertEquals(calls.size(), 1);
    }

    @Test
    public void aVmIsNotRebootedTwiceWhileTheJournalIsAway() {
        // The store is down while a wave goes on. The journal tells nothing of the reboots, and a
        // VM that is back would be emptied and rebooted again.
        serving("1", "surveys");
        Call call = decide(wave(1, 5_000, "vm1")).actions().get(0);
        mPlanner.answered(call, VmOutcome.DONE, mOwner.mNowMs);
        mVms.clear();
        serving("1", "surveys");

        assertTrue(decide(wave(1, 5_000, "vm1")).actions().isEmpty());
    }

    @Test
    public void vmsThatAreOffAreRebootedFirst() {
        serving("1", "surveys");
        serving("2", "surveys");
        vm("vm3", "off", VmPhase.UP, "");

        List<Call> calls = decide(wave(1, 30_000, "vm1", "vm3")).actions();

        assertEquals(calls.size(), 1);
        assertEquals(calls.get(0).vm().id(), "vm3");
    }

    @Test
    public void standingTasksAreTakenAwayWithinTheirBudget() {
        // Operators see a service below its availability budget during a wave: a VM with two tasks
        // of one step was rebooted while only one of them could be missed.
        WorkerState worker = serving("1", "surveys");
        mOwner.accept(Owner.order("aa", "surveys", 0, Owner.standing(2, 1, 1)));
        List<TaskRun> runs = mOwner.place();
        mOwner.look(worker);
        serving("2", "surveys");
        DueWave pressed = wave(1, 5_000, "vm1");

        assertTrue(decide(pressed).actions().isEmpty());
        assertEquals(stopping(runs), 1);
        TaskRun first = runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).findAny().get();
        mOwner.end(first, RunOutcome.STOPPED, 1);
        TaskRun moved = mOwner.place().get(0);
        assertEquals(moved.worker().id(), "w2");
        decide(pressed);
        assertEquals(stopping(runs), 1, "the first one is not at work again yet");

        mOwner.look(moved.worker());
        decide(pressed);
        assertEquals(stopping(runs), 2);
    }

    private static long stopping(List<TaskRun> runs) {
        return runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).count();
    }

    @Test
    public void aVmIsNotTouchedBeforeItsWorkerWasLookedAt() {
        // A new owner knows nothing yet of what runs on a worker; a reboot would end it all.
        vm("vm1", "surveys", VmPhase.UP, "w1");
        mOwner.mScheduler.worker(Owner.info("w1", "surveys", CORES), mOwner.mNowMs);

        assertTrue(decide(wave(1, 5_000, "vm1")).actions().isEmpty());
        mOwner.look(mOwner.mScheduler.worker("w1").get());
        assertEquals(decide(wave(1, 5_000, "vm1")).actions().size(), 1);
    }

    @Test
    public void aWaveIsCompletedOnlyWhenEachOfItsVmsHasBegun() {
        serving("1", "surveys");
        serving("2", "surveys");
        DueWave wave = wave(2, 30_000, "vm1", "vm2", "gone");
        mOwner.mBook.apply(new VmRebooted(1, "vm1"));

        assertTrue(decide(wave).completed().isEmpty());
        mOwner.mBook.apply(new VmRebooted(1, "vm2"));
        assertEquals(decide(wave).completed(), List.of(1L));
        assertTrue(decide(wave).completed().isEmpty(), "it is reported once");
    }

    @Test
    public void vmsThatAreOffGoToTheQueueWhoseTurnItIs() {
        serving("1", "surveys");
        vm("vm2", "off", VmPhase.UP, "");
        vm("vm3", "off", VmPhase.UP, "");
        mOwner.accept(Owner.order("aa", "surveys", 0, Owner.step(40, 1, 1000, List.of())));

        List<Call> calls = decide().actions();

        assertEquals(calls.size(), 2);
        assertTrue(calls.stream().allMatch(c -> c.action() instanceof VmAction.Move));
    }

    @Test
    public void spareVmsGoToTheStandbyPoolAndOneStays() {
        for (String n : List.of("1", "2", "3", "4")) {
            serving(n, "surveys");
        }
        decide();
        mOwner.mNowMs += 3000;

        List<Call> calls = decide().actions();

        assertEquals(calls.size(), 3);
        assertTrue(calls.stream().allMatch(c -> ((VmAction.Move) c.action()).pool().equals("off")));
    }

    @Test
    public void aVmWithWorkIsMovedOnlyWhenItsTasksAreDone() {
        for (String n : List.of("1", "2", "3")) {
            serving(n, "surveys");
        }
        TaskStep spread =
                new TaskStep(
                        3,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementRule(false, false, "", "", 1),
                        RunMode.PLAIN);
        mOwner.accept(Owner.order("aa", "surveys", 0, spread));
        List<TaskRun> runs = mOwner.place();
        mOwner.accept(Owner.order("bb", "reports", 0, Owner.step(60, 1, 1000, List.of())));
        mOwner.mNowMs += 1000;

        List<Call> first = decide().actions();
        TaskRun run = runs.stream().filter(r -> r.worker().isVacating()).findAny().orElseThrow();
        mOwner.end(run, RunOutcome.DONE, 1);
        List<Call> second = decide().actions();

        assertEquals(runs.size(), 3);
        assertTrue(first.isEmpty());
        assertEquals(second.size(), 1);
        assertEquals(second.get(0).vm().info().worker(), run.worker().id());
    }

    /** A task on each VM, which the first job keeps at work. */
    private List<TaskRun> busy(int vms) {
        for (int i = 0; i < vms; i++) {
            serving("s" + i, "surveys");
        }
        TaskStep spread =
                new TaskStep(
                        vms,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementRule(false, false, "", "", 1),
                        RunMode.PLAIN);
        mOwner.accept(Owner.order("aa", "surveys", 0, spread));
        return mOwner.place();
    }

    @Test
    public void aVmThatIsStillBeingEmptiedCountsForThePoolItGoesTo() {
        // Users see a queue wait although VMs stand idle elsewhere: one pool lacks two VMs, and
        // while those that were chosen finish their tasks, each pass chose two more, until a pool
        // that had none to spare had lent them all.
        List<TaskRun> runs = busy(10);
        mOwner.accept(Owner.order("bb", "reports", 0, Owner.step(40, 1, 1000, List.of())));
        mOwner.mNowMs += 1000;
        decide();
        long first = runs.stream().filter(r -> r.worker().isVacating()).count();
        for (int i = 0; i < 10; i++) {
            decide();
        }
        long last = runs.stream().filter(r -> r.worker().isVacating()).count();

        assertTrue(first > 0 && first <= 5, "chosen at once: " + first);
        assertEquals(last, first);
    }

    @Test
    public void aVmThatIsListedWithAnotherLifeEndsTheOldOne() {
        WorkerState worker = serving("1", "surveys");
        mPlanner.overLives(mVms, mOwner.mNowMs);
        List<VmInfo> down = new ArrayList<>();
        down.add(new VmInfo("vm1", "surveys", VmPhase.DOWN, "", Resources.of(CORES, 1L << 40, 0)));

        assertEquals(mPlanner.overLives(down, mOwner.mNowMs), List.of(worker));
    }

    @Test
    public void aWorkerThatHasAnsweredSinceIsNotOverForOneListThatLacksIt() {
        // The list of VMs comes in pages that are read one after the other. A VM that one list
        // lacks, while its worker answers looks that were sent after the list was asked for, is
        // alive: its tasks would be started a second time while they run.
        WorkerState worker = serving("1", "surveys");
        serving("2", "surveys");
        mPlanner.overLives(mVms, mOwner.mNowMs);
        long asked = mOwner.mNowMs;
        mVms.removeIf(v -> v.id().equals("vm1"));
        mOwner.mNowMs += 10;
        mOwner.look(worker);

        assertEquals(mPlanner.overLives(mVms, asked), List.of());
    }
}
