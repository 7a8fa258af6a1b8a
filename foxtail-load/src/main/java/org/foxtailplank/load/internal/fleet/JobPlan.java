package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.JobSpec;

/**
 * The jobs of a run; the same for every policy.
 *
 * <p>Batch work is offered for 1.3 times the fleet, so that it is always full, and urgent work for
 * 3% of it. Three of ten jobs take four times or a quarter of what they declare, and one of a
 * hundred can never run.
 */
final class JobPlan {

    private static final double BATCH_LOAD = 1.3;
    private static final double URGENT_LOAD = 0.03;
    private static final double WRONG_SHARE = 0.3;
    private static final double NEVER_SHARE = 0.01;
    private static final int WRONG_FACTOR = 4;
    private static final long GIB = 1L << 30;
    private static final long MEAN_BATCH_MS = 15 * FaultTimes.MINUTE_MS;
    private static final long MEAN_URGENT_MS = FaultTimes.MINUTE_MS;

    private final FleetScenario mScenario;
    private final Random mRandom;
    private final List<PoolId> mPools;
    private final List<TeamId> mTeams;
    private final List<PlannedJob> mJobs = new ArrayList<>();
    private final long mProcessors;

    JobPlan(FleetScenario scenario, long lengthMs, long seed) {
        mScenario = scenario;
        mRandom = new Random(seed);
        mPools = scenario.shape().pools().keySet().stream().sorted().toList();
        mTeams = scenario.quotas().keySet().stream().sorted().toList();
        mProcessors =
                scenario.capacity().values().stream().mapToLong(Resources::milliProcessors).sum()
                        / 1000;
        add(RequestClass.BATCH, BATCH_LOAD, MEAN_BATCH_MS, lengthMs);
        add(RequestClass.URGENT, URGENT_LOAD, MEAN_URGENT_MS, lengthMs);
        mJobs.sort(Comparator.comparingLong(PlannedJob::atMs));
    }

    List<PlannedJob> jobs() {
        return mJobs;
    }

    private void add(RequestClass urgency, double load, long meanMs, long lengthMs) {
        double wanted = load * mProcessors * lengthMs;
        double offered = 0;
        // What fills the fleet is there from the start; the rest comes evenly.
        double atStart = urgency == RequestClass.BATCH ? mProcessors * (double) meanMs : 0;
        for (int i = 0; offered < wanted; i++) {
            long at = offered < atStart ? 0 : (long) (mRandom.nextDouble() * lengthMs);
            PlannedJob job = job(urgency, i, at, meanMs);
            mJobs.add(job);
            offered += (double) job.spec().tasks() * job.spec().processors() * job.taskMs();
        }
    }

    private PlannedJob job(RequestClass urgency, int index, long at, long meanMs) {
        boolean urgent = urgency == RequestClass.URGENT;
        int largest = largestProcessors();
        int processors = urgent ? 1 + mRandom.nextInt(4) : 1 << mRandom.nextInt(4);
        boolean never = !urgent && mRandom.nextDouble() < NEVER_SHARE;
        if (never) {
            processors = 2 * largest;
        }
        int tasks = urgent || never ? 1 : 1 + mRandom.nextInt(tasksOfBatch());
        JobSpec spec =
                new JobSpec(
                        mTeams.get(mRandom.nextInt(mTeams.size())),
                        mPools.get(mRandom.nextInt(mPools.size())),
                        urgency,
                        processors,
                        processors * 2 * GIB,
                        0,
                        tasks);
        long taskMs = (long) (meanMs * (0.3 + 1.4 * mRandom.nextDouble()));
        JobId id = JobId.of((urgent ? "u" : "b") + index);
        return new PlannedJob(at, id, spec, real(spec), taskMs);
    }

    private Resources real(JobSpec spec) {
        Resources declared = Resources.declaredBy(spec);
        if (mRandom.nextDouble() >= WRONG_SHARE) {
            return declared;
        }
        boolean up = mRandom.nextBoolean();
        return new Resources(
                scaled(declared.milliProcessors(), up), scaled(declared.memoryBytes(), up), 0);
    }

    private static long scaled(long value, boolean up) {
        return up ? value * WRONG_FACTOR : value / WRONG_FACTOR;
    }

    private int largestProcessors() {
        return (int)
                (mScenario.capacity().values().stream()
                                .mapToLong(Resources::milliProcessors)
                                .max()
                                .orElseThrow()
                        / 1000);
    }

    private int tasksOfBatch() {
        return Math.max(4, mScenario.capacity().size() / mPools.size() / 2);
    }
}
