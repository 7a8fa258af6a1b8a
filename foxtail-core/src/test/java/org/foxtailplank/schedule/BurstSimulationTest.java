package org.foxtailplank.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.job.TaskStep;
import org.testng.annotations.Test;

/** Simulates bursts, in which queues receive several times their mean load for some seconds. */
public class BurstSimulationTest {
    private static final int SEEDS = 6;
    private static final double QUICK_JOBS_PER_S = 25;
    private static final double LARGE_JOBS_PER_S = 6;

    /** Size of a queue's jobs: most tasks of a step, and the cores and run time of a task. */
    private enum JobKind {
        QUICK(11, 2, 800),
        LARGE(15, 4, 1700);

        private final int mMostTasks;
        private final int mCores;
        private final long mTaskMs;

        JobKind(int mostTasks, int cores, long taskMs) {
            mMostTasks = mostTasks;
            mCores = cores;
            mTaskMs = taskMs;
        }

        /** Steps of a random job. */
        TaskStep[] steps(Random random) {
            List<TaskStep> steps = new ArrayList<>();
            int count = 1 + random.nextInt(2);
            for (int s = 0; s < count; s++) {
                List<Integer> dependsOn = s == 0 ? List.of() : List.of(s - 1);
                steps.add(
                        OwnerHarness.step(
                                1 + random.nextInt(mMostTasks), mCores, mTaskMs, dependsOn));
            }
            return steps.toArray(TaskStep[]::new);
        }
    }

    /** Adds jobs at random times at a mean rate; run times differ randomly from the estimates. */
    private static void runBurst(
            FleetSimulation simulation,
            Random random,
            String service,
            JobKind kind,
            double perSecond,
            long ms) {
        long end = simulation.elapsedMs() + ms;
        double next = simulation.elapsedMs() + nextArrivalMs(random, perSecond);
        while (simulation.elapsedMs() < end) {
            while (next <= simulation.elapsedMs()) {
                double slowdown = Math.exp(0.35 * random.nextGaussian());
                simulation.addJob(service, slowdown, kind.steps(random));
                next += nextArrivalMs(random, perSecond);
            }
            simulation.tick();
        }
    }

    private static double nextArrivalMs(Random random, double perSecond) {
        return -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
    }

    private static FleetSimulation fleet(int standby) {
        FleetSimulation simulation = new FleetSimulation();
        simulation.addVms("surveys", 2);
        simulation.addVms("reports", 2);
        simulation.addVms("off", standby);
        return simulation;
    }

    /** Simulates consecutive bursts of two queues. */
    private static FleetSimulation runBursts(long seed, JobKind kind, double perSecond) {
        Random random = new Random(seed);
        FleetSimulation simulation = fleet(31);
        runBurst(simulation, random, "surveys", kind, perSecond / 100, 3_000);
        runBurst(simulation, random, "surveys", kind, perSecond, 9_000);
        runBurst(simulation, random, "reports", kind, perSecond, 9_000);
        runBurst(simulation, random, "surveys", kind, perSecond / 100, 10_000);
        simulation.advance(20_000);
        return simulation;
    }

    private static double onTimeShareOfBursts(JobKind kind, double perSecond) {
        double onTime = 0;
        double jobs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            FleetSimulation simulation = runBursts(seed, kind, perSecond);
            assertEquals(simulation.doneJobs(), simulation.totalJobs(), "late jobs complete too");
            onTime += simulation.onTimeJobs();
            jobs += simulation.totalJobs();
        }
        return onTime / jobs;
    }

    @Test
    public void aBurstGetsVmsWithinItsFirstSeconds() {
        // Two idle queues need at least ten VMs, one after the other. Only jobs of the first
        // seconds may be late.
        double quick = onTimeShareOfBursts(JobKind.QUICK, QUICK_JOBS_PER_S);
        double large = onTimeShareOfBursts(JobKind.LARGE, LARGE_JOBS_PER_S);

        assertTrue(quick > 0.88, "quick jobs on time: " + quick);
        assertTrue(large > 0.86, "large jobs on time: " + large);
    }

    @Test
    public void aQueueWithLateJobsYieldsItsVmsToABurst() {
        // Guards against a backlog of late jobs that holds all VMs while another queue has a burst.
        double onTime = 0;
        double jobs = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            FleetSimulation simulation = fleet(20);
            for (int i = 0; i < 90; i++) {
                simulation.addJob("surveys", JobKind.LARGE.steps(random));
            }
            simulation.advance(6000);
            runBurst(simulation, random, "reports", JobKind.QUICK, QUICK_JOBS_PER_S, 8000);
            simulation.advance(30_000);
            assertEquals(simulation.doneJobs(), simulation.totalJobs(), "late jobs complete too");
            onTime += simulation.onTimeJobs(d -> d.service().equals("reports"));
            jobs += simulation.totalJobs() - 90;
        }

        assertTrue(onTime / jobs > 0.82, "on time: " + onTime / jobs);
    }
}
