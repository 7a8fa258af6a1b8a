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

/** Load of queues whose demand rises in turn to several times its mean. */
final class TurnLoad {
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

    private final TurnShape mShape;
    private final Random mRandom;
    private final Random mStandingRandom;
    private final Random mOrganisationRandom;
    private final List<Double> mShares = new ArrayList<>();
    private final FleetSimulation mSimulation;
    private final long mTurnMs;
    private int mCycles = 1;
    private long mZoneCutAtMs = -1;
    private long mZoneCutMs;
    private long mOwnerEndAtMs = -1;
    private long mOwnerlessMs;
    private long mWaveAtMs = -1;
    private long mWaveMs;
    private double mTurnShare = TURN_SHARE;
    private double mFloodFactor = 1;

    /**
     * Creates the load on small VMs.
     *
     * @param turnMs length of each queue's turn, in milliseconds
     */
    TurnLoad(long seed, long turnMs) {
        this(TurnShape.SMALL_VMS, seed, turnMs);
    }

    /**
     * Creates the load.
     *
     * @param turnMs length of each queue's turn, in milliseconds
     */
    TurnLoad(TurnShape shape, long seed, long turnMs) {
        mShape = shape;
        mRandom = new Random(seed);
        mStandingRandom = new Random(seed + 1);
        mOrganisationRandom = new Random(~seed);
        mTurnMs = turnMs;
        mSimulation = new FleetSimulation(new FleetSimulation.VmSize(shape.vm(), 8));
        List<ServiceConfig> services = new ArrayList<>();
        for (TurnShape.Queue q : shape.queues()) {
            services.add(new ServiceConfig(q.service(), true, false));
        }
        services.add(new ServiceConfig("off", true, true));
        mSimulation.mOwner.setServices(services);
        for (TurnShape.Queue q : shape.queues()) {
            mSimulation.addVms(q.service(), shape.poolVms());
        }
        mSimulation.addVms("off", shape.standbyVms());
    }

    /** Lets some large and many small organisations submit the jobs, with caps near their use. */
    TurnLoad withOrganisations() {
        double sum = 0;
        double jobsPerS = mShape.queues().stream().mapToDouble(TurnShape.Queue::perSecond).sum();
        for (int o = 0; o < ORGANISATIONS; o++) {
            sum += 1.0 / (o + 1);
            mShares.add(sum);
        }
        List<Organisation> all = new ArrayList<>();
        for (int o = 0; o < ORGANISATIONS; o++) {
            double share = 1.0 / (o + 1) / sum;
            double weight = Math.max(1, LIMIT_FACTOR * share * jobsPerS);
            int cores = (int) (LIMIT_FACTOR * share * mShape.meanCores());
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

    /** Ends the owner after so long; another one takes over after a further time. */
    TurnLoad withNewOwner(long atMs, long ownerlessMs) {
        mOwnerEndAtMs = atMs;
        mOwnerlessMs = ownerlessMs;
        return this;
    }

    /** Begins a wave after so long that reboots half of the VMs of the standby pool in a time. */
    TurnLoad withWave(long atMs, long durationMs) {
        mWaveAtMs = atMs;
        mWaveMs = durationMs;
        return this;
    }

    /** Lets each queue take this many turns. */
    TurnLoad withCycles(int cycles) {
        mCycles = cycles;
        return this;
    }

    /** Moves VMs by forecasts of the turns. */
    TurnLoad withForecast(BurstForecast forecast) {
        mSimulation.mPlanner.setForecast(forecast);
        return this;
    }

    /** Plays the turns of each queue and the time until all jobs are done. */
    FleetSimulation play() {
        for (TurnShape.Queue q : mShape.queues()) {
            for (int i = 0; i < mShape.standing().jobs(); i++) {
                mSimulation.addJob(q.service(), standing(mShape.standing()));
            }
        }
        mSimulation.advance(3000);
        long begin = mSimulation.elapsedMs();
        int queues = mShape.queues().size();
        long end = begin + mCycles * queues * mTurnMs;
        while (mSimulation.elapsedMs() < end) {
            long elapsedMs = mSimulation.elapsedMs() - begin;
            for (int q = 0; q < queues; q++) {
                addArrivals(q, elapsedMs);
            }
            if (elapsedMs == mZoneCutAtMs) {
                mSimulation.cutZone("z1", mZoneCutMs);
            }
            if (elapsedMs == mOwnerEndAtMs) {
                mSimulation.replaceOwner(mOwnerlessMs);
            }
            if (elapsedMs == mWaveAtMs) {
                beginWave();
            }
            mSimulation.tick();
        }
        mSimulation.advance(14_000);
        return mSimulation;
    }

    private void beginWave() {
        List<String> vms = mSimulation.vmsOf("off");
        List<String> half = vms.subList(0, vms.size() / 2);
        mSimulation.addWave(half, half.size(), mWaveMs);
    }

    private TaskStep standing(TurnShape.Standing s) {
        double position = mStandingRandom.nextDouble();
        long milliCores =
                s.leastMilliCores()
                        + (long) (position * (s.mostMilliCores() - s.leastMilliCores()));
        double memory = logNormal(mStandingRandom, s.memoryGb(), s.memorySpread());
        double bounded = Math.min(s.mostMemoryGb(), memory);
        return new TaskStep(
                s.tasks(),
                new Resources(milliCores, (long) (bounded * GB), 0),
                900,
                List.of(),
                new PlacementConstraints(false, false, "", "", 1),
                new RunMode(false, true, false, false, 0, 2));
    }

    private void addArrivals(int number, long elapsedMs) {
        TurnShape.Queue queue = mShape.queues().get(number);
        long cycleMs = mShape.queues().size() * mTurnMs;
        double position = (double) (elapsedMs % cycleMs) / mTurnMs - number;
        boolean turn = position >= 0 && position < 1;
        double share = turn ? mTurnShare * Math.sin(Math.PI * position) : IDLE_SHARE;
        double expected = queue.perSecond() * share * STEP_MS / MS_PER_S;
        for (double left = expected - nextExponential(); left > 0; left -= nextExponential()) {
            addJob(queue, drawOrganisation());
        }
        if (mFloodFactor > 1) {
            double flood = (mFloodFactor - 1) * queue.perSecond() * floodShare();
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
        return logNormal(mRandom, mean, spread);
    }

    private static double logNormal(Random random, double mean, double spread) {
        return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    }

    private void addJob(TurnShape.Queue queue, String organisation) {
        int count = (int) Math.max(1, Math.round(logNormal(queue.steps(), 0.4)));
        List<TaskStep> steps = new ArrayList<>();
        double[] slowdowns = new double[count];
        for (int s = 0; s < count; s++) {
            double trueMs = Math.min(2.5 * queue.taskMs(), logNormal(queue.taskMs(), 0.5));
            double slowdown = Math.exp(queue.estimateError() * mRandom.nextGaussian());
            int tasks = (int) Math.min(32, Math.max(1, Math.round(logNormal(8, 0.6))));
            double cores = Math.min(3 * queue.milliCores(), logNormal(queue.milliCores(), 0.45));
            double memory = Math.min(3 * queue.memoryGb(), logNormal(queue.memoryGb(), 0.6));
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
        RunTimes runTimes =
                new RunTimes(slowdowns, mShape.stragglers(), mSimulation.totalJobs() * 1_000_003L);
        mSimulation.addJob(queue.service(), runTimes, organisation, steps.toArray(TaskStep[]::new));
    }
}
