package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunOutcome;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.Test;

/** Tests that a wave stops a standing task only while enough others of its step serve. */
public class StandingTaskBudgetTest {
    private static final String JOB = "00000000000000aa";
    private static final int CORES = 8;

    /** More than half a VM, so that each VM runs one task. */
    private static final int TASK_CORES = 5;

    private static final long WAVE_MS = 20_000;

    /** Guards against a second task of a step being stopped while another one's worker is down. */
    @Test
    public void taskStaysWhileAnotherOnesWorkerDoesNotAnswer() {
        OwnerHarness owner = new OwnerHarness();
        List<TaskRun> runs = startTwoTasks(owner);
        owner.mScheduler.pollFailed(runs.get(1).worker(), owner.mNowMs);

        decideWave(owner, runs.get(0).worker());
        assertEquals(runs.get(0).phase(), RunPhase.RUNNING);

        owner.poll(runs.get(1).worker());
        decideWave(owner, runs.get(0).worker());
        assertEquals(runs.get(0).phase(), RunPhase.STOPPING);
    }

    /** Guards against a wave that stands still after a worker was lost. */
    @Test
    public void taskIsStoppedOnceTheOneOfALostWorkerServesElsewhere() {
        OwnerHarness owner = new OwnerHarness();
        List<TaskRun> runs = startTwoTasks(owner);
        WorkerState lost = runs.get(1).worker();
        owner.mScheduler.pollFailed(lost, owner.mNowMs);
        owner.mNowMs += OwnerHarness.LIMITS.leaseExpiryMs() + 10;
        assertEquals(owner.mScheduler.removeExpiredRuns(owner.mNowMs).size(), 1);

        List<TaskRun> again = owner.placeTasks();
        assertEquals(again.size(), 1);
        owner.poll(again.get(0).worker());
        owner.addWorker("spare", "surveys", CORES);
        decideWave(owner, runs.get(0).worker());

        assertEquals(runs.get(0).phase(), RunPhase.STOPPING);
    }

    /**
     * Guards against a new owner that stops a task while the one that its predecessor is stopping
     * is still listed as ready.
     */
    @Test
    public void newOwnerStopsNothingWhileItsPredecessorsStopMayBeInProgress() {
        OwnerHarness first = new OwnerHarness();
        List<TaskRun> runs = startTwoTasks(first);
        TaskRun stopping = runs.get(1);

        OwnerHarness second = takeOver(first);
        WorkerState serving = second.mScheduler.worker(runs.get(0).worker().id()).orElseThrow();
        decideWave(second, serving);
        assertEquals(stoppingRuns(second), 0, "runs stopped before the first stop has completed");

        // The next answer reports that the predecessor's stop has completed.
        second.mNowMs += OwnerHarness.LIMITS.stopMs();
        WorkerState stopped = second.mScheduler.worker(stopping.worker().id()).orElseThrow();
        RunEnd end =
                new RunEnd(1, stopping.task().name(), stopping.attempt(), RunOutcome.STOPPED, "");
        second.poll(stopped, end);
        second.poll(serving);
        decideWave(second, serving);
        assertEquals(stoppingRuns(second), 0, "runs stopped while another task is down");
    }

    /** Guards against a wave that stands still after a change of owner. */
    @Test
    public void newOwnerStopsATaskOnceTheOthersAreKnownToServe() {
        OwnerHarness first = new OwnerHarness();
        List<TaskRun> runs = startTwoTasks(first);
        OwnerHarness second = takeOver(first);
        second.mNowMs += OwnerHarness.LIMITS.stopMs();
        List.copyOf(second.mScheduler.workers()).forEach(second::poll);

        decideWave(second, second.mScheduler.worker(runs.get(0).worker().id()).orElseThrow());

        assertEquals(stoppingRuns(second), 1);
    }

    /** Starts a step of two tasks, one of which may be unavailable; a third worker is idle. */
    private static List<TaskRun> startTwoTasks(OwnerHarness owner) {
        for (String id : List.of("w0", "w1", "w2")) {
            owner.addWorker(id, "surveys", CORES);
        }
        owner.accept(
                OwnerHarness.definition(
                        JOB, "surveys", 0, OwnerHarness.standing(2, TASK_CORES, 1)));
        List<TaskRun> runs = owner.placeTasks();
        runs.forEach(r -> owner.poll(r.worker()));
        return runs;
    }

    /** Creates the next owner, which has polled each worker once. */
    private static OwnerHarness takeOver(OwnerHarness first) {
        OwnerHarness second = new OwnerHarness(first.mRegistry);
        for (String id : List.of("w0", "w1", "w2")) {
            second.mScheduler.updateWorker(OwnerHarness.info(id, "surveys", CORES), second.mNowMs);
        }
        JobProgress job = first.mRegistry.job(JOB).orElseThrow();
        second.mScheduler.addInheritedJob(job, w -> false, second.mNowMs);
        second.mNowMs++;
        List.copyOf(second.mScheduler.workers()).forEach(second::poll);
        return second;
    }

    /** Decides on a wave over the VM of one worker. */
    private static void decideWave(OwnerHarness owner, WorkerState worker) {
        List<VmInfo> vms = new ArrayList<>();
        for (WorkerState w : owner.mScheduler.workers()) {
            Resources capacity = Resources.of(CORES, 1L << 40, 0);
            vms.add(new VmInfo("vm-" + w.id(), "surveys", VmPhase.UP, w.id(), capacity));
        }
        VmPlanner planner = new VmPlanner(owner.mScheduler);
        planner.applyList(vms, owner.mNowMs);
        MaintenanceWave wave = new MaintenanceWave(1, List.of("vm-" + worker.id()), WAVE_MS, 1);
        planner.decide(
                owner.mConfig,
                List.of(new DueWave(wave, owner.mNowMs)),
                owner.mRegistry,
                true,
                owner.mNowMs,
                OwnerHarness.WALL_MS);
    }

    private static long stoppingRuns(OwnerHarness owner) {
        return owner.mScheduler.workers().stream()
                .flatMap(w -> w.runs().stream())
                .filter(r -> r.phase() == RunPhase.STOPPING)
                .count();
    }
}
