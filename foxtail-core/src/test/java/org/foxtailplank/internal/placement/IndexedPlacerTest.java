package org.foxtailplank.internal.placement;

import static org.foxtailplank.internal.placement.FakeWorkers.GIB;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.fleet.WorkerReport;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;
import org.testng.annotations.Test;

/** Tests placement under failing workers, wrong declared sizes and expired leases. */
public class IndexedPlacerTest {

    private static FakeWorkers fleet(int workers) {
        FakeWorkers fleet = new FakeWorkers().workers("p", workers, 16);
        fleet.placer.setQuotas(Map.of(TeamId.of("a"), 0.5, TeamId.of("b"), 0.5));
        return fleet;
    }

    @Test
    public void throttlesBatchSoThatUrgentWorkStartsAtOnceInAFullFleet() {
        FakeWorkers fleet = fleet(4);
        JobId batch = fleet.job("batch", "a", RequestClass.BATCH, 16, 4);
        fleet.round();
        assertEquals(fleet.running(batch), 4);
        // Memory is declared four times too high, so only processors are missing.
        usesLittleMemory(fleet, batch);

        JobId urgent = fleet.job("urgent", "b", RequestClass.URGENT, 8, 1);
        fleet.round();

        assertEquals(fleet.running(urgent), 1);
        assertEquals(fleet.asked(TaskAction.THROTTLE), 1);
        assertEquals(fleet.asked(TaskAction.STOP), 0);
        assertEquals(fleet.running(batch), 4, "all batch tasks still run");
    }

    private static void usesLittleMemory(FakeWorkers fleet, JobId job) {
        for (int i = 0; i < 10; i++) {
            fleet.now += 100;
            fleet.tasks.forEach(
                    (id, t) -> {
                        var used = new Resources(16_000, 16 * GIB, 0);
                        var running = new WorkerReport.Running(id, t.attempt(), used);
                        fleet.placer.applyReport(
                                new WorkerReport(t.worker(), fleet.now, List.of(running)),
                                fleet.now);
                    });
        }
    }

    @Test
    public void checkpointsBatchWhereMemoryIsMissingAndStopsItLast() {
        // Guards against urgent work that waits for a hanging checkpoint of batch work.
        FakeWorkers fleet = fleet(2);
        fleet.job("batch", "a", RequestClass.BATCH, 16, 2);
        fleet.round();
        fleet.ignored.add(TaskAction.CHECKPOINT);

        JobId urgent = fleet.job("urgent", "b", RequestClass.URGENT, 16, 1);
        fleet.rounds(1, 200);
        assertEquals(fleet.asked(TaskAction.CHECKPOINT), 1);
        assertEquals(fleet.asked(TaskAction.STOP), 0);
        long from = fleet.now;
        while (fleet.running(urgent) == 0 && fleet.now - from < 4_400) {
            fleet.rounds(1, 200);
        }

        assertEquals(fleet.running(urgent), 1);
        assertEquals(fleet.asked(TaskAction.STOP), 1);
    }

    @Test
    public void letsNoTeamReclaimBeyondItsQuota() {
        FakeWorkers fleet = fleet(4);
        fleet.placer.setQuotas(Map.of(TeamId.of("a"), 0.75, TeamId.of("b"), 0.25));
        fleet.job("batch", "a", RequestClass.BATCH, 16, 4);
        fleet.round();

        JobId urgent = fleet.job("urgent", "b", RequestClass.URGENT, 16, 3);
        fleet.rounds(20, 500);

        assertEquals(fleet.running(urgent), 1, "a quarter of four workers");
    }

    @Test
    public void sharesAFullPoolByQuotaAlsoWhenOneTeamCameFirst() {
        FakeWorkers fleet = fleet(8);
        JobId first = fleet.job("first", "a", RequestClass.BATCH, 16, 100);
        fleet.round();
        JobId second = fleet.job("second", "b", RequestClass.BATCH, 16, 100);

        for (int i = 0; i < 40; i++) {
            fleet.renewAll();
            fleet.rounds(1, 10_000);
        }

        assertEquals(fleet.running(first), 4);
        assertEquals(fleet.running(second), 4);
    }

    @Test
    public void reportsAnInfeasibleJobOnceAndRunsItOnceAWorkerFits() {
        FakeWorkers fleet = fleet(2);
        JobId large = fleet.job("large", "a", RequestClass.URGENT, 64, 1);

        PlacementDecision decision = fleet.round();

        assertTrue(decision.refused().get(large).contains("no worker of pool p"));
        assertTrue(fleet.round().refused().isEmpty(), "said once");
        assertTrue(fleet.asked.isEmpty());
        assertTrue(fleet.placer.explain(large, 0).get().reasons().get(0).text().contains("64"));

        fleet.worker("p", 99, 64, true);
        fleet.round();
        assertEquals(fleet.running(large), 1, "a larger worker came");
    }

    @Test
    public void quarantinesAWorkerThatFailsEverythingAfterFewStarts() {
        // Guards against a faulty worker that attracts task after task because it is always free.
        FakeWorkers fleet = fleet(4);
        fleet.failing.add(VmId.of("p1"));
        for (int i = 0; i < 12; i++) {
            fleet.job("j" + i, "a", RequestClass.BATCH, 4, 1);
        }

        fleet.rounds(20, 1_000);

        long startsOnIt =
                fleet.asked.stream().filter(a -> a.worker().equals(VmId.of("p1"))).count();
        assertTrue(startsOnIt <= 3, startsOnIt + " starts");
        assertEquals(fleet.tasks.values().stream().filter(FakeWorkers::runs).count(), 12);
    }

    @Test
    public void endsAQuarantineAfterASuccessfulTrial() {
        FakeWorkers fleet = fleet(1);
        VmId only = VmId.of("p0");
        fleet.failing.add(only);
        for (int i = 0; i < 3; i++) {
            fleet.job("j" + i, "a", RequestClass.BATCH, 1, 1);
        }
        fleet.rounds(20, 1_000);
        assertTrue(fleet.placer.explain(only, fleet.now).get().toString().contains("QUARANTINED"));

        fleet.failing.clear();
        fleet.rounds(70, 1_000);
        TaskId trial = onlyRunning(fleet);
        fleet.end(trial, TaskOutcome.SUCCEEDED);
        fleet.rounds(2, 1_000);

        assertEquals(fleet.tasks.values().stream().filter(FakeWorkers::runs).count(), 2);
    }

    private static TaskId onlyRunning(FakeWorkers fleet) {
        List<TaskId> running =
                fleet.tasks.entrySet().stream()
                        .filter(e -> FakeWorkers.runs(e.getValue()))
                        .map(Map.Entry::getKey)
                        .toList();
        assertEquals(running.size(), 1, "one task on trial");
        return running.get(0);
    }

    @Test
    public void refusesAJobThatFailsOnSeveralHealthyWorkers() {
        FakeWorkers fleet = fleet(8);
        JobId good = fleet.job("good", "a", RequestClass.BATCH, 2, 8);
        fleet.round();
        JobId bad = fleet.job("bad", "a", RequestClass.BATCH, 2, 1);

        PlacementDecision last = fleet.placer.decide(fleet.now);
        int starts = 0;
        while (last.refused().isEmpty() && starts < 20) {
            for (var action : last.actions()) {
                starts++;
                fleet.tasks.put(
                        action.task(),
                        new TaskState(
                                action.worker(),
                                action.attempt(),
                                action.action(),
                                Optional.empty()));
                fleet.end(action.task(), TaskOutcome.FAILED);
            }
            fleet.now += 1_000;
            last = fleet.placer.decide(fleet.now);
        }

        assertTrue(last.refused().containsKey(bad));
        assertTrue(starts <= 3, starts + " starts");
        assertEquals(fleet.running(good), 8);
    }

    @Test
    public void repeatsTheSameAttemptWhenTheAnswerIsLost() {
        FakeWorkers fleet = fleet(1);
        fleet.silent.add(VmId.of("p0"));
        fleet.job("j", "a", RequestClass.INTERACTIVE, 4, 1);

        fleet.rounds(8, 1_000);

        Set<Long> attempts = new HashSet<>();
        fleet.asked.forEach(a -> attempts.add(a.attempt()));
        assertEquals(attempts, Set.of(1L));
        assertTrue(fleet.asked.size() > 1, "asked again");
        assertTrue(fleet.asked.stream().skip(1).allMatch(a -> a.repeated()));
    }

    @Test
    public void fencesTheHolderOfALapsedLease() {
        // Guards against a worker that resumes a task after its lease expired and the task
        // restarted.
        FakeWorkers fleet = fleet(2);
        JobId job = fleet.job("j", "a", RequestClass.BATCH, 4, 1);
        fleet.round();
        TaskId task = new TaskId(job, 0);
        VmId paused = fleet.tasks.get(task).worker();
        fleet.silent.add(paused);
        fleet.worker("p", paused.value().equals("p0") ? 0 : 1, 16, false);

        fleet.rounds(40, 1_000);
        assertEquals(fleet.tasks.get(task).attempt(), 2);
        assertFalse(fleet.tasks.get(task).worker().equals(paused));

        var old = new WorkerReport.Running(task, 1, new Resources(4_000, GIB, 0));
        fleet.placer.applyReport(new WorkerReport(paused, fleet.now, List.of(old)), fleet.now);
        PlacementDecision decision = fleet.placer.decide(fleet.now);

        assertTrue(
                decision.actions().stream()
                        .anyMatch(
                                a ->
                                        a.worker().equals(paused)
                                                && a.attempt() == 1
                                                && a.action() == TaskAction.STOP));
    }

    @Test
    public void neverRunsTwoAttemptsOfATaskWhileALeaseIsValid() {
        FakeWorkers fleet = fleet(3);
        fleet.job("j", "a", RequestClass.BATCH, 4, 6);
        fleet.round();
        fleet.silent.add(VmId.of("p0"));

        fleet.rounds(25, 1_000);

        assertTrue(fleet.tasks.values().stream().allMatch(t -> t.attempt() == 1));
    }

    @Test
    public void stopsOnlyTheRunningTasksOfACancelledJob() {
        FakeWorkers fleet = fleet(8);
        JobId gone = fleet.job("gone", "a", RequestClass.BATCH, 2, 5_000);
        JobId stays = fleet.job("stays", "b", RequestClass.BATCH, 2, 10);
        fleet.round();
        long running = fleet.running(gone);
        fleet.asked.clear();

        fleet.cancel(gone);
        fleet.round();

        assertEquals(fleet.asked(TaskAction.STOP), running, "only what runs is stopped");
        assertEquals(fleet.running(gone), 0);
        fleet.round();
        assertEquals(fleet.running(stays), 10);
        assertTrue(fleet.placer.explain(gone, 0).isEmpty(), "nothing is kept of it");
    }

    @Test
    public void startsMoreWhereDeclaredSizesAreFourTimesTooHigh() {
        FakeWorkers fleet = fleet(1);
        JobId job = fleet.job("j", "a", RequestClass.BATCH, 8, 6);
        fleet.round();
        assertEquals(fleet.running(job), 2);

        for (int i = 0; i < 20; i++) {
            fleet.now += 1_000;
            List<WorkerReport.Running> running =
                    fleet.tasks.entrySet().stream()
                            .map(
                                    e ->
                                            new WorkerReport.Running(
                                                    e.getKey(),
                                                    e.getValue().attempt(),
                                                    new Resources(2_000, 8 * GIB, 0)))
                            .toList();
            fleet.placer.applyReport(
                    new WorkerReport(VmId.of("p0"), fleet.now, running), fleet.now);
            fleet.round();
        }

        assertEquals(fleet.running(job), 6);
    }

    @Test
    public void checkpointsATaskWhenItsWorkerRunsOutOfMemory() {
        FakeWorkers fleet = fleet(1);
        JobId job = fleet.job("j", "a", RequestClass.BATCH, 4, 4);
        fleet.rounds(2, 10);
        assertEquals(fleet.running(job), 4);

        fleet.now += 1_000;
        List<WorkerReport.Running> running =
                fleet.tasks.keySet().stream()
                        .map(
                                id ->
                                        new WorkerReport.Running(
                                                id, 1, new Resources(4_000, 32 * GIB, 0)))
                        .toList();
        fleet.placer.applyReport(new WorkerReport(VmId.of("p0"), fleet.now, running), fleet.now);
        fleet.round();

        assertEquals(fleet.asked(TaskAction.CHECKPOINT), 1);
    }
}
