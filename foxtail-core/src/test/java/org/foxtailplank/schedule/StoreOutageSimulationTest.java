package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.job.TaskStep;
import org.testng.annotations.Test;

/** Simulates two queues that take turns, and a store that rejects everything for some seconds. */
public class StoreOutageSimulationTest {
    private static final int SEEDS = 8;
    private static final long STEP_MS = 100;
    private static final long OUTAGE_BEGIN_MS = 6000;
    private static final long OUTAGE_MS = 4000;

    /** The first queue's turn ends, and the second one's begins, in the middle of the outage. */
    private static final long SECOND_TURN_MS = 8000;

    private static final long END_MS = 17_000;

    /** Time from the store's return until VMs can have joined the pool whose turn it is. */
    private static final long RECOVERY_MS = 1000;

    private static final double MOST_LOST = 0.05;

    private static TaskStep[] quickSteps(Random random) {
        return steps(random, 11, 2, 800);
    }

    private static TaskStep[] largeSteps(Random random) {
        return steps(random, 15, 4, 1700);
    }

    private static TaskStep[] steps(Random random, int mostTasks, int cores, long taskMs) {
        List<TaskStep> steps = new ArrayList<>();
        int count = 1 + random.nextInt(2);
        for (int s = 0; s < count; s++) {
            List<Integer> dependsOn = s == 0 ? List.of() : List.of(s - 1);
            steps.add(OwnerHarness.step(1 + random.nextInt(mostTasks), cores, taskMs, dependsOn));
        }
        return steps.toArray(TaskStep[]::new);
    }

    /** Share of the jobs submitted after the recovery that are in time. */
    private static double inTimeShare(long outageMs) {
        double inTime = 0;
        double jobs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            FleetSimulation simulation = new FleetSimulation();
            List<String> counted = simulate(simulation, new Random(seed), outageMs);
            assertEquals(simulation.doneJobs(), simulation.totalJobs(), "late jobs complete too");
            inTime += counted.stream().filter(id -> simulation.job(id).isInTime()).count();
            jobs += counted.size();
        }
        return inTime / jobs;
    }

    /** Simulates both turns; returns the jobs submitted after the recovery. */
    private static List<String> simulate(FleetSimulation simulation, Random random, long outageMs) {
        simulation.addVms("surveys", 2);
        simulation.addVms("reports", 2);
        simulation.addVms("off", 31);
        List<String> counted = new ArrayList<>();
        while (simulation.elapsedMs() < END_MS) {
            long now = simulation.elapsedMs();
            if (now == OUTAGE_BEGIN_MS && outageMs > 0) {
                simulation.failStore(outageMs);
            }
            boolean large = now < SECOND_TURN_MS;
            double arrivals = (large ? 6.0 : 24.0) * STEP_MS / 1000;
            for (; arrivals > 0; arrivals--) {
                if (random.nextDouble() < arrivals) {
                    String id = "job" + simulation.totalJobs();
                    simulation.addJob(
                            large ? "surveys" : "reports",
                            large ? largeSteps(random) : quickSteps(random));
                    if (now >= OUTAGE_BEGIN_MS + OUTAGE_MS + RECOVERY_MS) {
                        counted.add(id);
                    }
                }
            }
            simulation.tick();
        }
        simulation.advance(20_000);
        return counted;
    }

    /** Guards against late jobs that make those of the next turn late for seconds. */
    @Test
    public void aTurnThatBeginsDuringAnOutageIsServedInTimeSoonAfterIt() {
        double without = inTimeShare(0);
        double with = inTimeShare(OUTAGE_MS);

        assertTrue(
                with >= without - MOST_LOST,
                "in time after an outage: " + with + ", without one: " + without);
    }
}
