package org.foxtailplank.schedule;

import static org.foxtailplank.schedule.OwnerHarness.definition;
import static org.foxtailplank.schedule.OwnerHarness.step;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that the loss of a zone delays only a part of the jobs. */
public class ZonePreferenceTest {
    private static final int SEEDS = 6;
    private static final long TURN_MS = 8500;

    private OwnerHarness mOwner;

    @BeforeMethod
    public void setUp() {
        mOwner = new OwnerHarness();
    }

    private void addWorkers(String zone, int count) {
        for (int i = 0; i < count; i++) {
            Resources capacity = Resources.of(16, 1L << 40, 0);
            mOwner.addWorker(zone + i, "surveys", capacity, "rack-" + zone, zone);
        }
    }

    private static String zone(TaskRun run) {
        return run.worker().registration().zone().orElseThrow();
    }

    /** Guards against a zone cut that delays nearly all jobs, as each has tasks in every zone. */
    @Test
    public void theTasksOfAJobAreKeptInOneZone() {
        for (String zone : List.of("a", "b", "c")) {
            addWorkers(zone, 6);
        }
        for (int i = 0; i < 18; i++) {
            mOwner.accept(definition("job" + i, "surveys", 0, step(8, 1, 500, List.of())));
        }

        Map<String, Set<String>> zonesByJob = new HashMap<>();
        Map<String, Integer> tasksByZone = new HashMap<>();
        for (TaskRun r : mOwner.placeTasks()) {
            zonesByJob.computeIfAbsent(r.task().name().job(), j -> new HashSet<>()).add(zone(r));
            tasksByZone.merge(zone(r), 1, Integer::sum);
        }

        long inOneZone = zonesByJob.values().stream().filter(z -> z.size() == 1).count();
        assertTrue(inOneZone >= 16, "in one zone: " + inOneZone);
        assertEquals(tasksByZone.size(), 3, "all zones are used: " + tasksByZone);
    }

    @Test
    public void aJobUsesOtherZonesIfItsOwnIsFull() {
        addWorkers("a", 1);
        addWorkers("b", 1);
        mOwner.accept(definition("job", "surveys", 0, step(32, 1, 500, List.of())));

        assertEquals(mOwner.placeTasks().size(), 32);
    }

    /** Replays bursts on a fleet that loses the workers of a zone for some seconds. */
    @Test
    public void mostJobsAreInTimeAlthoughAZoneIsCutOff() {
        double earned = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            earned +=
                    new TurnLoad(seed, TURN_MS).withZoneCut(5000, 5600).play().earnedShare()
                            / SEEDS;
        }

        System.out.println("earned beside a zone cut: " + earned);
        assertTrue(earned > 0.92, "earned: " + earned);
    }
}
