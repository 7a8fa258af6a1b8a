package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.foxtailplank.job.JobBook;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.JournalRecord.JobAccepted;
import org.testng.annotations.Test;

/** The order of jobs when there is too little room for all. */
public class UrgencyTest {
    private static final long SEED = 7;
    private static final long CORES = 32;
    private static final int JOBS = 200;
    private static final long TURN_MS = 4000;

    private interface Order {
        List<ActiveRun> sort(List<ActiveRun> runs, long nowWallMs);
    }

    @Test
    public void moreJobsMeetTheirObjectivesThanInTheOrderOfTheirComing() {
        // A queue asks five times what its pool can do for four seconds. In the order of their
        // coming every job waits for all before it and misses its objective by a little.
        int byUrgency = inTime((runs, now) -> Urgency.sort(runs, CORES * Owner.CORE, now));
        int asTheyCame =
                inTime(
                        (runs, now) -> {
                            List<ActiveRun> sorted = new ArrayList<>(runs);
                            sorted.sort(
                                    Comparator.comparingLong(r -> r.job().order().acceptedMs()));
                            return sorted;
                        });

        System.out.println(
                "in time of " + JOBS + ": " + byUrgency + ", as they came: " + asTheyCame);
        assertTrue(byUrgency >= 2 * asTheyCame, byUrgency + " against " + asTheyCame);
    }

    /** Jobs that meet their objectives on one machine of the pool's size that serves in order. */
    private static int inTime(Order order) {
        List<ActiveRun> coming = jobs();
        List<ActiveRun> waiting = new ArrayList<>();
        int met = 0;
        long now = Owner.WALL_MS;
        while (!coming.isEmpty() || !waiting.isEmpty()) {
            long until = now;
            coming.removeIf(r -> r.job().order().acceptedMs() <= until && waiting.add(r));
            if (waiting.isEmpty()) {
                now = coming.get(0).job().order().acceptedMs();
                continue;
            }
            ActiveRun next = order.sort(waiting, now).get(0);
            waiting.remove(next);
            now += next.remainingWork() / (CORES * Owner.CORE);
            met += now <= Urgency.objectiveMs(next) ? 1 : 0;
        }
        return met;
    }

    private static List<ActiveRun> jobs() {
        Random random = new Random(SEED);
        List<ActiveRun> runs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            int tasks = 1 + random.nextInt(12);
            long estimate = 400 + random.nextInt(1200);
            JobOrder order =
                    Owner.order("job" + i, "surveys", 0, Owner.step(tasks, 3, estimate, List.of()));
            JobOrder timed =
                    new JobOrder(
                            order.id(),
                            order.route(),
                            order.service(),
                            order.text(),
                            order.steps(),
                            order.timetable(),
                            order.terms(),
                            Owner.WALL_MS + i * TURN_MS / JOBS);
            JobBook book = new JobBook(1000);
            runs.add(new ActiveJob(book.apply(new JobAccepted(timed)).get()).runs().get(0));
        }
        return runs;
    }

    @Test
    public void alowerPriorityNumberGoesFirstAndStandingTasksBeforeOthers() {
        List<ActiveRun> runs = new ArrayList<>();
        Owner owner = new Owner();
        owner.accept(Owner.order("c", "surveys", 1, Owner.step(1, 1, 10, List.of())));
        owner.accept(Owner.order("b", "surveys", 0, Owner.step(1, 1, 10, List.of())));
        owner.accept(Owner.order("a", "surveys", 0, Owner.standing(1, 1, 1)));
        owner.mScheduler.runs().jobs().forEach(j -> runs.add(j.runs().get(0)));

        List<String> ids = new ArrayList<>();
        for (ActiveRun r : Urgency.sort(runs, CORES * Owner.CORE, Owner.WALL_MS)) {
            ids.add(r.job().id());
        }

        assertEquals(ids, List.of("a", "b", "c"));
    }
}
