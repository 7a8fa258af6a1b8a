package org.foxtailplank.load.internal.fleet;

import java.lang.management.ManagementFactory;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.foxtailplank.fleet.BufferHistory;
import org.foxtailplank.fleet.BufferPlanner;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.PoolUse;
import org.foxtailplank.fleet.WavePlanner;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.WaveState;

/** Times single decisions on a whole fleet and weighs its state. */
final class CostRun {

    private static final int WARM_UP = 50;
    private static final int ROUNDS = 200;
    private static final double NANOS_OF_MS = 1e6;
    private static final double BYTES_OF_MIB = 1 << 20;

    private final FleetScenario mScenario;

    CostRun(FleetScenario scenario) {
        mScenario = scenario;
    }

    CostResult run() {
        double before = usedMiB();
        CapacityRun run = new CapacityRun(mScenario, new NaiveCapacity(), 0, 1, 1);
        FleetState state = run.stateInWave();
        double stateMiB = usedMiB() - before;
        WaveState wave = state.waves().iterator().next();
        ZoneId zone = wave.zones().stream().sorted().findFirst().orElseThrow();
        WavePlanner waves = WavePlanner.byRack();
        Observation seen = seen(state);
        Histogram next = time(() -> waves.next(state, wave, zone, seen), ROUNDS);
        Histogram plan = time(() -> waves.plan(state, wave, seen), WARM_UP);
        int steps = waves.plan(state, wave, seen).steps().size();
        BufferPlanner buffer = BufferPlanner.byDemand(mScenario.settings());
        BufferHistory[] history = {BufferHistory.none()};
        long[] now = {0};
        double beforeHistory = usedMiB();
        Histogram buffers =
                time(
                        () -> {
                            now[0] += 1_000;
                            history[0] = buffer.plan(state, seen, history[0], now[0]).history();
                        },
                        ROUNDS);
        double historyMiB = usedMiB() - beforeHistory;
        return new CostResult(
                ms(next, 50),
                ms(next, 99),
                ms(plan, 50),
                steps,
                ms(buffers, 50),
                ms(buffers, 99),
                stateMiB,
                historyMiB);
    }

    private static Observation seen(FleetState state) {
        Map<PoolId, PoolUse> use = new HashMap<>();
        state.pools().forEach(p -> use.put(p.id(), new PoolUse(0, 0.6 * p.target(), p.target())));
        return new Observation(Set.of(), use);
    }

    private static Histogram time(Runnable decision, int rounds) {
        for (int i = 0; i < WARM_UP; i++) {
            decision.run();
        }
        Histogram nanos = new Histogram(3);
        for (int i = 0; i < rounds; i++) {
            long from = cpuNanos();
            decision.run();
            nanos.recordValue(cpuNanos() - from);
        }
        return nanos;
    }

    /** Processor time, since a shared machine makes others' work look like ours. */
    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static double ms(Histogram nanos, double percentile) {
        return nanos.getValueAtPercentile(percentile) / NANOS_OF_MS;
    }

    private static double usedMiB() {
        System.gc();
        Runtime r = Runtime.getRuntime();
        return (r.totalMemory() - r.freeMemory()) / BYTES_OF_MIB;
    }
}
