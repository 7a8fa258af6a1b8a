package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.JobRegistry;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.testng.annotations.Test;

/** Tests the order of jobs when capacity is short. */
public class UrgencyTest {
    private static final long SEED = 7;
    private static final long CORES = 32;
    private static final int JOBS = 200;
    private static final long TURN_MS = 4000;

    private interface SortOrder {
        List<ActiveRun> sort(List<ActiveRun> runs, long nowWallMs);
    }

    private static List<ActiveRun> sort(List<ActiveRun> runs, long nowWallMs) {
        return UrgencyOrder.sort(
                runs, PoolCapacity.of(CORES * OwnerHarness.CORE), OrganisationCaps.NONE, nowWallMs);
    }

    @Test
    public void urgencyOrderMeetsMoreObjectivesThanArrivalOrder() {
        // In an overload of five times the capacity, arrival order makes every job slightly late.
        int byUrgency = countOnTime((runs, now) -> sort(runs, now));
        int byArrival =
                countOnTime(
                        (runs, now) -> {
                            List<ActiveRun> sorted = new ArrayList<>(runs);
                            sorted.sort(
                                    Comparator.comparingLong(
                                            r -> r.job().definition().acceptedMs()));
                            return sorted;
                        });

        System.out.println(
                "on time of " + JOBS + ": " + byUrgency + ", in arrival order: " + byArrival);
        assertTrue(byUrgency >= 2 * byArrival, byUrgency + " against " + byArrival);
    }

    /** Counts the jobs that meet their objectives on one machine of the pool's size. */
    private static int countOnTime(SortOrder order) {
        List<ActiveRun> arriving = jobs();
        List<ActiveRun> waiting = new ArrayList<>();
        int onTime = 0;
        long now = OwnerHarness.WALL_MS;
        while (!arriving.isEmpty() || !waiting.isEmpty()) {
            long until = now;
            arriving.removeIf(r -> r.job().definition().acceptedMs() <= until && waiting.add(r));
            if (waiting.isEmpty()) {
                now = arriving.get(0).job().definition().acceptedMs();
                continue;
            }
            ActiveRun next = order.sort(waiting, now).get(0);
            waiting.remove(next);
            now += next.remainingWork() / (CORES * OwnerHarness.CORE);
            onTime += now <= UrgencyOrder.objectiveMs(next) ? 1 : 0;
        }
        return onTime;
    }

    private static List<ActiveRun> jobs() {
        Random random = new Random(SEED);
        List<ActiveRun> runs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int tasks = 1 + random.nextInt(12);
            long estimate = 400 + random.nextInt(1200);
            JobDefinition definition =
                    OwnerHarness.definition(
                            "job" + i,
                            "surveys",
                            0,
                            OwnerHarness.step(tasks, 3, estimate, List.of()));
            JobDefinition timed =
                    new JobDefinition(
                            definition.id(),
                            definition.route(),
                            definition.service(),
                            definition.text(),
                            definition.steps(),
                            definition.timetable(),
                            definition.policy(),
                            OwnerHarness.WALL_MS + i * TURN_MS / JOBS,
                            0,
                            "");
            JobRegistry registry = new JobRegistry(1000);
            JobProgress progress = registry.apply(new JobAccepted(timed)).get();
            runs.add(new ActiveJob(progress, true).runs().get(0));
        }
        return runs;
    }

    @Test
    public void priorityComesFirstAndThenStandingTasks() {
        List<ActiveRun> runs = new ArrayList<>();
        OwnerHarness owner = new OwnerHarness();
        owner.accept(
                OwnerHarness.definition("c", "surveys", 1, OwnerHarness.step(1, 1, 10, List.of())));
        owner.accept(
                OwnerHarness.definition("b", "surveys", 0, OwnerHarness.step(1, 1, 10, List.of())));
        owner.accept(OwnerHarness.definition("a", "surveys", 0, OwnerHarness.standing(1, 1, 1)));
        owner.mScheduler.runs().jobs().forEach(j -> runs.add(j.runs().get(0)));

        List<String> ids = new ArrayList<>();
        for (ActiveRun r : sort(runs, OwnerHarness.WALL_MS)) {
            ids.add(r.job().id());
        }

        assertEquals(ids, List.of("a", "b", "c"));
    }
}
