package org.foxtailplank.load.internal.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.state.FleetTopology;
import org.foxtailplank.state.PoolDefinition;

/**
 * Demand of each pool over a day, and what is declared of it; the same for every policy.
 *
 * <p>Working hours rise and fall within two hours, with noise on top. Three of ten pools declare a
 * quarter or four times of what they need.
 */
final class DemandModel {

    private static final long HOUR_MS = 3_600_000;
    private static final long NOISE_STEP_MS = 300_000;
    private static final double WRONG_SHARE = 0.3;
    private static final double WRONG_FACTOR = 4;

    private record PoolDemand(double peak, double factor, long shiftMs, double[] noise) {}

    private final Map<PoolId, PoolDemand> mPools = new HashMap<>();

    DemandModel(FleetTopology shape, long horizonMs, long seed) {
        Random random = new Random(seed);
        List<PoolId> ids = new ArrayList<>(shape.pools().keySet());
        ids.sort(null);
        int wrong = (int) Math.ceil(WRONG_SHARE * ids.size());
        int first = random.nextInt(ids.size());
        for (int i = 0; i < ids.size(); i++) {
            PoolDefinition pool = shape.pools().get(ids.get(i));
            boolean isWrong = Math.floorMod(i - first, ids.size()) < wrong;
            double factor = isWrong ? i % 2 == 0 ? WRONG_FACTOR : 1 / WRONG_FACTOR : 1;
            long shift = (long) ((random.nextDouble() - 0.5) * 2 * HOUR_MS);
            double[] noise = noise(random, (int) (horizonMs / NOISE_STEP_MS) + 2);
            mPools.put(ids.get(i), new PoolDemand(0.9 * pool.target(), factor, shift, noise));
        }
    }

    private static double[] noise(Random random, int steps) {
        double[] noise = new double[steps];
        for (int i = 1; i < steps; i++) {
            noise[i] = 0.8 * noise[i - 1] + 0.03 * random.nextGaussian();
        }
        return noise;
    }

    /** VMs that would be fully busy. */
    double demand(PoolId pool, long atMs) {
        PoolDemand p = mPools.get(pool);
        return Math.max(0, p.peak * (day(atMs + p.shiftMs) + noiseAt(p, atMs)));
    }

    private static double noiseAt(PoolDemand p, long atMs) {
        int step = (int) Math.min(atMs / NOISE_STEP_MS, p.noise.length - 2);
        double part = (double) (atMs % NOISE_STEP_MS) / NOISE_STEP_MS;
        return p.noise[step] + part * (p.noise[step + 1] - p.noise[step]);
    }

    /** Share of the peak: 0.3 at night, rising from 6 to 8 and falling from 17 to 20 o'clock. */
    private static double day(long atMs) {
        double hour = (double) Math.floorMod(atMs, 24 * HOUR_MS) / HOUR_MS;
        double up = Math.max(0, Math.min(1, (hour - 6) / 2));
        double down = Math.max(0, Math.min(1, (hour - 17) / 3));
        return 0.3 + 0.7 * (up - down);
    }

    /** What is declared for the hour: the largest of its demand, as wrong as the pool is. */
    int declared(PoolId pool, long atMs) {
        PoolDemand p = mPools.get(pool);
        long hour = atMs / HOUR_MS * HOUR_MS;
        double from = day(hour + p.shiftMs);
        double to = day(hour + HOUR_MS + p.shiftMs);
        return (int) Math.max(1, Math.round(p.peak * p.factor * Math.max(from, to)));
    }
}
