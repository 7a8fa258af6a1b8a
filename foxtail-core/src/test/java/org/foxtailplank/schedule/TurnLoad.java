package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.PlacementConstraints;
import org.foxtailplank.job.RunMode;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.organisation.Organisation;
import org.foxtailplank.port.ServiceConfig;

/**
 * Load of four queues whose demand rises in turn to several times its mean, on small VMs whose
 * memory is scarce, with run times that are often far from their estimates.
 */
final class TurnLoad {
    private static final int VMS = 246;
    private static final int STANDING_TASKS = 20;
    private static final long GB = 1L << 30;
    private static final double TURN_SHARE = 5.2;
    private static final double IDLE_SHARE = 0.05;
    private static final long STEP_MS = 100;
    private static final double MS_PER_S = 1000;

    private static final int ORGANISATIONS = 20;

    /** Organisation that floods, the second largest. */
    static final String FLOODING = "o1";

    /** Weights and caps of organisations, as multiples of their mean use. */
    private static final double LIMIT_FACTOR = 1.9;

    private static final double JOBS_PER_S = 46;
    private static final double MEAN_CORES = 1300;

    private final Random mRandom;
    private final Random mOrganisationRandom;
    private final List<Double> mShares = new ArrayList<>();
    private final FleetSimulation mSimulation;
    private final long mTurnMs;
    private long mZoneCutAtMs = -1;
    private long mZoneCutMs;
    private double mTurnShare = TURN_SHARE;
    private double mFloodFactor = 1;

    /** Batch jobs of a queue. */
    enum Queue {
        QUICK_A("photo", 16.5, 1.6, 1500, 2.8, 1000, 0.5),
        LARGE_A("levels", 3.98, 2, 3300, 6.2, 1700, 0.88),
        QUICK_B("soils", 20.7, 1.6, 1500, 2.8, 1000, 0.5),
        LARGE_B("valuation", 4.86, 2, 3300, 6.2, 1700, 0.88);

        private final String mService;
        private final double mPerSecond;
        private final double mSteps;
        private final double mMilliCores;
        private final double mMemoryGb;
        private final double mTaskMs;
        private final double mEstimateError;

        Queue(
                String service,
                double perSecond,
                double steps,
                double milliCores,
                double memoryGb,
                double taskMs,
                double estimateError) {
            mService = service;
            mPerSecond = perSecond;
            mSteps = steps;
            mMilliCores = milliCores;
            mMemoryGb = memoryGb;
            mTaskMs = taskMs;
            mEstimateError = estimateError;
        }
    }

    /**
     * Creates the load.
     *
     * @param turnMs length of each queue's turn, in milliseconds
     */
    TurnLoad(long seed, long turnMs) {
        mRandom = new Random(seed);
        mOrganisationRandom = new Random(~seed);
        mTurnMs = turnMs;
        Resources capacity = Resources.of(16, 32 * GB, 0);
        mSimulation = new FleetSimulation(new FleetSimulation.VmSize(capacity, 8));
        List<ServiceConfig> services = new ArrayList<>();
        for (Queue q : Queue.values()) {
            services.add(new ServiceConfig(q.mService, true, false));
        }
        services.add(new ServiceConfig("off", true, true));
        mSimulation.mOwner.setServices(services);
        for (Queue q : Queue.values()) {
            mSimulation.addVms(q.mService, STANDING_TASKS);
        }
        mSimulation.addVms("off", VMS - Queue.values().length * STANDING_TASKS);
    }

    /** Lets some large and many small organisations submit the jobs, with caps near their use. */
    TurnLoad withOrganisations() {
        double sum = 0;
        for (int o = 0; o < ORGANISATIONS; o++) {
            sum += 1.0 / (o + 1);
            mShares.add(sum);
        }
        List<Organisation> all = new ArrayList<>();
        for (int o = 0; o < ORGANISATIONS; o++) {
            double share = 1.0 / (o + 1) / sum;
            double weight = Math.max(1, LIMIT_FACTOR * share * JOBS_PER_S);
            int cores = (int) (LIMIT_FACTOR * share * MEAN_CORES);
            all.add(OwnerHarness.organisation("o" + o, weight, cores));
        }
        mSimulation.mOwner.setOrganisations(all.toArray(Organisation[]::new));
        return this;
    }

    private String drawOrganisation() {
        if (mShares.isEmpty()) {
            return Organisation.NONE;
        }
        double drawn = mOrganisationRandom.nextDouble() * mShares.get(mShares.size() - 1);
        int number = 0;
        while (mShares.get(number) < drawn) {
            number++;
        }
        return "o" + number;
    }

    /** Lets a turn request this many times as much. */
    TurnLoad withTurnFactor(double factor) {
        mTurnShare = factor * TURN_SHARE;
        return this;
    }

    /** Lets one organisation submit this many times its mean number of jobs all the time. */
    TurnLoad withFlood(double factor) {
        mFloodFactor = factor;
        return this;
    }

    FleetSimulation simulation() {
        return mSimulation;
    }

    /** Cuts the workers of a zone off for a time after so long. */
    TurnLoad withZoneCut(long atMs, long ms) {
        mZoneCutAtMs = atMs;
        mZoneCutMs = ms;
        return this;
    }

    /** Plays one turn of each queue and the time until all jobs are done. */
    FleetSimulation play() {
        for (Queue q : Queue.values()) {
            mSimulation.addJob(q.mService, standing());
        }
        mSimulation.advance(3000);
        long begin = mSimulation.elapsedMs();
        long end = begin + Queue.values().length * mTurnMs;
        while (mSimulation.elapsedMs() < end) {
            long elapsedMs = mSimulation.elapsedMs() - begin;
            for (Queue q : Queue.values()) {
                addArrivals(q, elapsedMs);
            }
            if (elapsedMs == mZoneCutAtMs) {
                mSimulation.cutZone("z1", mZoneCutMs);
            }
            mSimulation.tick();
        }
        mSimulation.advance(14_000);
        return mSimulation;
    }

    private TaskStep standing() {
        return new TaskStep(
                STANDING_TASKS,
                new Resources(2200, 6 * GB, 0),
                900,
                List.of(),
                new PlacementConstraints(false, false, "", "", 1),
                new RunMode(false, true, false, false, 0, 2));
    }

    private void addArrivals(Queue queue, long elapsedMs) {
        double position = (double) elapsedMs / mTurnMs - queue.ordinal();
        boolean turn = position >= 0 && position < 1;
        double share = turn ? mTurnShare * Math.sin(Math.PI * position) : IDLE_SHARE;
        double expected = queue.mPerSecond * share * STEP_MS / MS_PER_S;
        for (double left = expected - nextExponential(); left > 0; left -= nextExponential()) {
            addJob(queue, drawOrganisation());
        }
        if (mFloodFactor > 1) {
            double flood = (mFloodFactor - 1) * queue.mPerSecond * floodShare();
            double more = flood * STEP_MS / MS_PER_S;
            for (double left = more - nextExponential(); left > 0; left -= nextExponential()) {
                addJob(queue, FLOODING);
            }
        }
    }

    private double floodShare() {
        return (mShares.get(1) - mShares.get(0)) / mShares.get(mShares.size() - 1);
    }

    private double nextExponential() {
        return -Math.log(1 - mRandom.nextDouble());
    }

    private double logNormal(double mean, double spread) {
        return mean * Math.exp(spread * mRandom.nextGaussian() - spread * spread / 2);
    }

    private void addJob(Queue queue, String organisation) {
        int count = (int) Math.max(1, Math.round(logNormal(queue.mSteps, 0.4)));
        List<TaskStep> steps = new ArrayList<>();
        double[] slowdowns = new double[count];
        for (int s = 0; s < count; s++) {
            double trueMs = Math.min(2.5 * queue.mTaskMs, logNormal(queue.mTaskMs, 0.5));
            double slowdown = Math.exp(queue.mEstimateError * mRandom.nextGaussian());
            int tasks = (int) Math.min(32, Math.max(1, Math.round(logNormal(8, 0.6))));
            double cores = Math.min(3 * queue.mMilliCores, logNormal(queue.mMilliCores, 0.45));
            double memory = Math.min(3 * queue.mMemoryGb, logNormal(queue.mMemoryGb, 0.6));
            slowdowns[s] = slowdown;
            steps.add(
                    new TaskStep(
                            tasks,
                            new Resources((long) cores, (long) (memory * GB), 0),
                            Math.max(1, (long) (trueMs / slowdown)),
                            s == 0 ? List.of() : List.of(s - 1),
                            PlacementConstraints.ANYWHERE,
                            RunMode.PLAIN));
        }
        mSimulation.addJob(queue.mService, slowdowns, organisation, steps.toArray(TaskStep[]::new));
    }
}
