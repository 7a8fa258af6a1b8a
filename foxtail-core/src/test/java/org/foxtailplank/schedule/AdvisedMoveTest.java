package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.MaintenanceWave;
import org.foxtailplank.port.PlacementAdvisor.Advice;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that waves move standing tasks of queues with placement advice. */
public class AdvisedMoveTest {
    private static final String JOB = "00000000000000aa";
    private static final int CORES = 8;

    /** More than half a VM, so that each VM runs one task. */
    private static final int TASK_CORES = 5;

    private static final long VALID_MS = 3000;
    private static final long WAVE_MS = 20_000;
    private static final List<String> WORKERS = List.of("w0", "w1", "w2");

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
        WORKERS.forEach(w -> mOwner.addWorker(w, "surveys", CORES));
    }

    private List<TaskRun> startTwoTasks() {
        mOwner.accept(
                OwnerHarness.withAdvice(
                        OwnerHarness.definition(
                                JOB, "surveys", 0, OwnerHarness.standing(2, TASK_CORES, 1)),
                        5,
                        1,
                        VALID_MS));
        answerRequests(Set.copyOf(WORKERS));
        List<TaskRun> runs = mOwner.placeTasks();
        runs.forEach(r -> mOwner.poll(r.worker()));
        assertEquals(runs.size(), 2);
        return runs;
    }

    private void answerRequests(Set<String> allowed) {
        for (Decisions.AdviceRequest request : mOwner.decide().adviceRequests()) {
            Map<String, String> tickets = new HashMap<>();
            for (WorkerIncarnation w : request.workers()) {
                if (allowed.contains(w.id())) {
                    tickets.put(w.id(), "ticket of " + w.id());
                }
            }
            mOwner.mScheduler.adviceAnswered(
                    request, new Advice(true, tickets, VALID_MS), mOwner.mNowMs);
        }
    }

    /** Decides on a wave over the VM of one worker. */
    private void decideWave(WorkerState worker) {
        Resources capacity = Resources.of(CORES, 1L << 40, 0);
        List<VmInfo> vms =
                mOwner.mScheduler.workers().stream()
                        .map(
                                w ->
                                        new VmInfo(
                                                "vm-" + w.id(),
                                                "surveys",
                                                VmPhase.UP,
                                                w.id(),
                                                capacity))
                        .toList();
        VmPlanner planner = new VmPlanner(mOwner.mScheduler);
        planner.applyList(vms, mOwner.mNowMs);
        MaintenanceWave wave = new MaintenanceWave(1, List.of("vm-" + worker.id()), WAVE_MS, 1);
        planner.decide(
                mOwner.mConfig,
                List.of(new DueWave(wave, mOwner.mNowMs)),
                mOwner.mRegistry,
                true,
                mOwner.mNowMs,
                OwnerHarness.WALL_MS);
    }

    @Test
    public void aStandingTaskMovesForAWaveAfterItsTicketsHaveExpired() {
        // Guards against a wave that never begins, as a task without a valid ticket has no place.
        TaskRun run = startTwoTasks().get(0);
        mOwner.mNowMs += 10 * VALID_MS;
        mOwner.mScheduler.workers().forEach(mOwner::poll);

        decideWave(run.worker());

        assertEquals(run.phase(), RunPhase.STOPPING);
    }

    @Test
    public void aNewOwnerRequestsAdviceForAStandingTaskThatHasToMove() {
        // Guards against a wave that stands still after a change of owner.
        TaskRun former = startTwoTasks().get(0);
        OwnerHarness next = new OwnerHarness(mOwner.mRegistry);
        WORKERS.forEach(
                w ->
                        next.mScheduler.updateWorker(
                                OwnerHarness.info(w, "surveys", CORES), next.mNowMs));
        next.mRegistry
                .jobs()
                .forEach(j -> next.mScheduler.addInheritedJob(j, w -> false, next.mNowMs));
        next.mNowMs += OwnerHarness.LIMITS.stopMs();
        List.copyOf(next.mScheduler.workers()).forEach(next::poll);
        next.mNowMs += OwnerHarness.LIMITS.stopMs();
        List.copyOf(next.mScheduler.workers()).forEach(next::poll);
        mOwner = next;
        WorkerState worker = next.mScheduler.worker(former.worker().id()).orElseThrow();

        decideWave(worker);
        answerRequests(Set.copyOf(WORKERS));
        decideWave(worker);

        assertEquals(worker.runs().iterator().next().phase(), RunPhase.STOPPING);
    }

    @Test
    public void aStandingTaskStaysIfNoOtherWorkerIsAllowedToRunIt() {
        // Guards against a task that is stopped although it has no other place.
        TaskRun run = startTwoTasks().get(0);
        WorkerIncarnation idle =
                mOwner.mScheduler.workers().stream()
                        .filter(w -> w.runs().isEmpty())
                        .findFirst()
                        .orElseThrow()
                        .incarnation();
        run.task().step().recordAdvice(List.of(idle), Map.of(), VALID_MS, mOwner.mNowMs);

        decideWave(run.worker());

        assertEquals(run.phase(), RunPhase.RUNNING);
    }
}
