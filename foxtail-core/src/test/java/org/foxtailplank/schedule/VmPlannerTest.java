package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JournalRecord.VmRebooted;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.port.CommandOutcome;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;
import org.foxtailplank.port.VmClient.VmPhase;
import org.foxtailplank.schedule.VmPlanner.Call;
import org.foxtailplank.schedule.VmPlanner.VmDecisions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which VMs are rebooted and moved, and when. */
public class VmPlannerTest {
    private static final int CORES = 8;

    private OwnerHarness mOwner;
    private VmPlanner mPlanner;
    private List<VmInfo> mVms;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        mPlanner = new VmPlanner(mOwner.mScheduler);
        mVms = new ArrayList<>();
    }

    private void addVm(String id, String pool, VmPhase phase, String worker) {
        mVms.add(new VmInfo(id, pool, phase, worker, Resources.of(CORES, 1L << 40, 0)));
    }

    private WorkerState addServingVm(String number, String pool) {
        addVm("vm" + number, pool, VmPhase.UP, "w" + number);
        return mOwner.addWorker("w" + number, pool, CORES);
    }

    private VmDecisions decide(DueWave... waves) {
        mOwner.mNowMs += 10;
        mPlanner.applyList(mVms, mOwner.mNowMs);
        return mPlanner.decide(
                mOwner.mConfig,
                List.of(waves),
                mOwner.mRegistry,
                true,
                mOwner.mNowMs,
                OwnerHarness.WALL_MS);
    }

    private DueWave wave(int maxConcurrent, long leftMs, String... vms) {
        MaintenanceWave wave = new MaintenanceWave(1, List.of(vms), leftMs, maxConcurrent);
        return new DueWave(wave, mOwner.mNowMs + leftMs);
    }

    @Test
    public void noMoreVmsAreDownAtATimeThanTheWaveAllows() {
        for (String n : List.of("1", "2", "3")) {
            addServingVm(n, "surveys");
        }
        DueWave wave = wave(1, 30_000, "vm1", "vm2", "vm3");

        List<Call> first = decide(wave).actions();
        mPlanner.callAnswered(first.get(0), VmOutcome.DONE, mOwner.mNowMs);
        String vm = first.get(0).vm().id();
        mOwner.mRegistry.apply(new VmRebooted(1, vm));
        mVms.removeIf(v -> v.id().equals(vm));
        addVm(vm, "surveys", VmPhase.REBOOTING, "");
        List<Call> second = decide(wave).actions();

        assertEquals(first.size(), 1);
        assertTrue(second.isEmpty(), "the first VM is still down");
    }

    @Test
    public void aVmThatMovesAfterItsRebootDoesNotDelayTheWave() {
        // Guards against a wave delayed by moving VMs that count as down although they were
        // rebooted.
        addServingVm("1", "surveys");
        addVm("vm2", "surveys", VmPhase.MOVING, "");
        mOwner.mRegistry.apply(new VmRebooted(1, "vm2"));

        List<Call> calls = decide(wave(1, 5_000, "vm1", "vm2")).actions();

        assertEquals(calls.size(), 1);
    }

    @Test
    public void aVmIsNotRebootedTwiceWhileTheJournalIsUnavailable() {
        // Guards against a second reboot while the journal lacks the first one.
        addServingVm("1", "surveys");
        Call call = decide(wave(1, 5_000, "vm1")).actions().get(0);
        mPlanner.callAnswered(call, VmOutcome.DONE, mOwner.mNowMs);
        mVms.clear();
        addServingVm("1", "surveys");

        assertTrue(decide(wave(1, 5_000, "vm1")).actions().isEmpty());
    }

    @Test
    public void vmsThatAreOffAreRebootedFirst() {
        addServingVm("1", "surveys");
        addServingVm("2", "surveys");
        addVm("vm3", "off", VmPhase.UP, "");

        List<Call> calls = decide(wave(1, 30_000, "vm1", "vm3")).actions();

        assertEquals(calls.size(), 1);
        assertEquals(calls.get(0).vm().id(), "vm3");
    }

    @Test
    public void standingTasksAreStoppedWithinTheirBudget() {
        // Guards against a reboot that makes more tasks of a step unavailable than its budget
        // allows.
        WorkerState worker = addServingVm("1", "surveys");
        mOwner.accept(OwnerHarness.definition("aa", "surveys", 0, OwnerHarness.standing(2, 1, 1)));
        List<TaskRun> runs = mOwner.placeTasks();
        mOwner.poll(worker);
        addServingVm("2", "surveys");
        DueWave urgentWave = wave(1, 5_000, "vm1");

        assertTrue(decide(urgentWave).actions().isEmpty());
        assertEquals(countStopping(runs), 1);
        TaskRun first = runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).findAny().get();
        mOwner.endRun(first, RunOutcome.STOPPED, 1);
        TaskRun moved = mOwner.placeTasks().get(0);
        assertEquals(moved.worker().id(), "w2");
        decide(urgentWave);
        assertEquals(countStopping(runs), 1, "the first task is not ready yet");

        mOwner.poll(moved.worker());
        decide(urgentWave);
        assertEquals(countStopping(runs), 2);
    }

    private static long countStopping(List<TaskRun> runs) {
        return runs.stream().filter(r -> r.phase() == RunPhase.STOPPING).count();
    }

    @Test
    public void aVmIsNotRebootedBeforeItsWorkerWasPolled() {
        // A new owner doesn't know yet what runs on the worker.
        addVm("vm1", "surveys", VmPhase.UP, "w1");
        mOwner.mScheduler.updateWorker(OwnerHarness.info("w1", "surveys", CORES), mOwner.mNowMs);

        assertTrue(decide(wave(1, 5_000, "vm1")).actions().isEmpty());
        mOwner.poll(mOwner.mScheduler.worker("w1").get());
        assertEquals(decide(wave(1, 5_000, "vm1")).actions().size(), 1);
    }

    @Test
    public void aWaveIsCompletedOnlyWhenAllItsRebootsHaveBegun() {
        addServingVm("1", "surveys");
        addServingVm("2", "surveys");
        DueWave wave = wave(2, 30_000, "vm1", "vm2", "gone");
        mOwner.mRegistry.apply(new VmRebooted(1, "vm1"));

        assertTrue(decide(wave).completed().isEmpty());
        mOwner.mRegistry.apply(new VmRebooted(1, "vm2"));
        assertEquals(decide(wave).completed(), List.of(1L));
        assertTrue(decide(wave).completed().isEmpty(), "completion is reported only once");
    }

    @Test
    public void standbyVmsMoveToThePoolWithAQueue() {
        addServingVm("1", "surveys");
        addVm("vm2", "off", VmPhase.UP, "");
        addVm("vm3", "off", VmPhase.UP, "");
        mOwner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.step(40, 1, 1000, List.of())));

        List<Call> calls = decide().actions();

        assertEquals(calls.size(), 2);
        assertTrue(calls.stream().allMatch(c -> c.action() instanceof PlannedVmAction.Move));
    }

    /** Guards against VMs that move to the standby pool and back between two bursts. */
    @Test
    public void spareVmsGoToTheStandbyPoolOneAfterTheOtherAndOneStays() {
        for (String n : List.of("1", "2", "3", "4")) {
            addServingVm(n, "surveys");
        }
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            mOwner.mNowMs += 90;
            List<Call> now = decide().actions();
            assertTrue(now.size() <= 1, "in one decision: " + now);
            assertTrue(i >= 5 || now.isEmpty(), "at once: " + now);
            calls.addAll(now);
        }

        assertEquals(calls.size(), 3);
        assertTrue(
                calls.stream()
                        .allMatch(c -> ((PlannedVmAction.Move) c.action()).pool().equals("off")));
    }

    /** Guards against two moves where one will do. */
    @Test
    public void aPoolWithAQueueGetsIdleVmsOfOtherPoolsBeforeThoseThatAreOff() {
        addServingVm("1", "surveys");
        for (String n : List.of("2", "3", "4", "5")) {
            addServingVm(n, "reports");
        }
        addVm("vm6", "off", VmPhase.UP, "");
        mOwner.mNowMs += 3000;
        mOwner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.step(12, 1, 1000, List.of())));
        mOwner.mNowMs += 500;

        List<Call> calls = decide().actions();

        assertFalse(calls.isEmpty());
        assertTrue(calls.stream().allMatch(c -> c.vm().info().pool().equals("reports")));
    }

    @Test
    public void aVmWithWorkIsMovedOnlyWhenItsTasksAreDone() {
        for (String n : List.of("1", "2", "3")) {
            addServingVm(n, "surveys");
        }
        TaskStep spread =
                new TaskStep(
                        3,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(false, false, "", "", 1),
                        RunMode.PLAIN);
        mOwner.accept(OwnerHarness.definition("aa", "surveys", 0, spread));
        List<TaskRun> runs = mOwner.placeTasks();
        mOwner.accept(
                OwnerHarness.definition(
                        "bb", "reports", 0, OwnerHarness.step(60, 1, 1000, List.of())));
        mOwner.mNowMs += 1000;

        List<Call> first = decide().actions();
        TaskRun run = runs.stream().filter(r -> r.worker().isEvacuating()).findAny().orElseThrow();
        mOwner.endRun(run, RunOutcome.DONE, 1);
        List<Call> second = decide().actions();

        assertEquals(runs.size(), 3);
        assertTrue(first.isEmpty());
        assertEquals(second.size(), 1);
        assertEquals(second.get(0).vm().info().worker(), run.worker().id());
    }

    /** Adds VMs that each run one task. */
    private List<TaskRun> addBusyVms(int vms) {
        for (int i = 0; i < vms; i++) {
            addServingVm("s" + i, "surveys");
        }
        TaskStep spread =
                new TaskStep(
                        vms,
                        Resources.of(1, 1, 0),
                        1000,
                        List.of(),
                        new PlacementConstraints(false, false, "", "", 1),
                        RunMode.PLAIN);
        mOwner.accept(OwnerHarness.definition("aa", "surveys", 0, spread));
        return mOwner.placeTasks();
    }

    @Test
    public void aVmBeingEvacuatedCountsForItsTargetPool() {
        // Guards against planning moves of further VMs on every decision until the first one has
        // moved.
        List<TaskRun> runs = addBusyVms(10);
        mOwner.accept(
                OwnerHarness.definition(
                        "bb", "reports", 0, OwnerHarness.step(40, 1, 1000, List.of())));
        mOwner.mNowMs += 1000;
        decide();
        long first = runs.stream().filter(r -> r.worker().isEvacuating()).count();
        for (int i = 0; i < 10; i++) {
            decide();
        }
        long last = runs.stream().filter(r -> r.worker().isEvacuating()).count();

        assertTrue(first > 0 && first <= 5, "selected at once: " + first);
        assertEquals(last, first);
    }

    @Test
    public void aVmListedWithoutItsIncarnationEndsIt() {
        WorkerState worker = addServingVm("1", "surveys");
        mPlanner.endedIncarnations(mVms, mOwner.mNowMs);
        List<VmInfo> down = new ArrayList<>();
        down.add(new VmInfo("vm1", "surveys", VmPhase.DOWN, "", Resources.of(CORES, 1L << 40, 0)));

        assertEquals(mPlanner.endedIncarnations(down, mOwner.mNowMs), List.of(worker));
    }

    /** Guards against tasks that run twice because a VM was missed between the pages of a list. */
    @Test
    public void aWorkerWhoseVmOneListLacksIsEndedByTheNextListOnly() {
        WorkerState worker = addServingVm("1", "surveys");
        addServingVm("2", "surveys");
        List<VmInfo> all = List.copyOf(mVms);
        List<VmInfo> others = all.stream().filter(v -> !v.id().equals("vm1")).toList();

        assertEquals(endedBy(all), List.of());
        assertEquals(endedBy(others), List.of());
        assertEquals(endedBy(all), List.of());
        assertEquals(endedBy(others), List.of());
        assertEquals(endedBy(others), List.of(worker));
    }

    private List<WorkerState> endedBy(List<VmInfo> vms) {
        mOwner.mNowMs += 400;
        return mPlanner.endedIncarnations(vms, mOwner.mNowMs);
    }

    @Test
    public void aWorkerThatAnsweredIsNotEndedByAListWithoutIt() {
        // Guards against tasks that run twice because a VM moved between the pages of the list
        // while it was read.
        WorkerState worker = addServingVm("1", "surveys");
        addServingVm("2", "surveys");
        mPlanner.endedIncarnations(mVms, mOwner.mNowMs);
        long asked = mOwner.mNowMs;
        mVms.removeIf(v -> v.id().equals("vm1"));
        mOwner.mNowMs += 10;
        mOwner.poll(worker);

        assertEquals(mPlanner.endedIncarnations(mVms, asked), List.of());
    }

    /** Sends a start to a worker that the list lacks from then on. */
    private TaskRun sendStartBeforeTheWorkerIsDown() {
        addServingVm("1", "surveys");
        mPlanner.endedIncarnations(mVms, mOwner.mNowMs);
        mOwner.accept(
                OwnerHarness.definition(
                        "aa", "surveys", 0, OwnerHarness.step(1, 1, 1000, List.of())));
        TaskRun run = mOwner.decide().planned().get(0);
        mOwner.recordStarts(List.of(run));
        mOwner.decide();
        run.recordStartSent(mOwner.mNowMs);
        mVms.clear();
        addVm("vm1", "surveys", VmPhase.DOWN, "");
        mOwner.mNowMs += 10;
        return run;
    }

    /**
     * Guards against a start that the next incarnation executes while its task starts elsewhere.
     */
    @Test
    public void aWorkerIsNotEndedByAListWhileAStartIsUnanswered() {
        TaskRun run = sendStartBeforeTheWorkerIsDown();
        long asked = mOwner.mNowMs;

        assertEquals(mPlanner.endedIncarnations(mVms, asked), List.of());
        mOwner.mNowMs += 10;
        mOwner.mScheduler.startAnswered(run, CommandOutcome.DONE, mOwner.mNowMs);
        assertEquals(mPlanner.endedIncarnations(mVms, asked), List.of());
        assertEquals(mPlanner.endedIncarnations(mVms, asked + 20_000), List.of(run.worker()));
    }

    @Test
    public void aWorkerIsEndedByAListOnceAStartHasTimedOut() {
        TaskRun run = sendStartBeforeTheWorkerIsDown();
        mOwner.mScheduler.startAnswered(run, CommandOutcome.UNANSWERED, mOwner.mNowMs);

        assertEquals(mPlanner.endedIncarnations(mVms, mOwner.mNowMs), List.of(run.worker()));
    }
}
