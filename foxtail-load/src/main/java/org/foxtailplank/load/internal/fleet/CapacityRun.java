package org.foxtailplank.load.internal.fleet;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.fleet.PoolUse;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.ConfigurationPublished;
import org.foxtailplank.state.FleetState;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.PoolTargetChanged;
import org.foxtailplank.state.Verdict;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmHealth;
import org.foxtailplank.state.VmJoined;
import org.foxtailplank.state.VmObserved;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmReleased;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveControlled;
import org.foxtailplank.state.WaveOrder;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveStarted;
import org.foxtailplank.state.WaveState;

/** One day of one policy on the real fold, under a fake clock. */
final class CapacityRun {

    private static final WaveId WAVE = WaveId.of("wave");
    private static final long REPORT_LAG_MS = 60_000;
    private static final long DECLARE_MS = 15 * FaultTimes.MINUTE_MS;

    private final FleetScenario mScenario;
    private final CapacityPolicy mPolicy;
    private final long mWaveMs;
    private final long mStepMs;
    private final DemandModel mDemand;
    private final FakePlatform mPlatform;
    private final FleetState mState = new FleetState();
    private final Deque<Map<PoolId, PoolUse>> mReports = new ArrayDeque<>();
    private final CapacityMeter mMeter = new CapacityMeter();
    private boolean mRackLost;
    private long mPausedMs = Long.MAX_VALUE;

    CapacityRun(
            FleetScenario scenario, CapacityPolicy policy, long waveMs, long stepMs, long seed) {
        mWaveMs = waveMs;
        mScenario = scenario;
        mPolicy = policy;
        mStepMs = stepMs;
        mDemand = new DemandModel(scenario.shape(), FaultTimes.DAY_MS, seed);
        mPlatform = new FakePlatform(scenario.settings(), seed);
    }

    CapacityResult run() {
        publish();
        for (long now = 0; now < FaultTimes.DAY_MS; now += mStepMs) {
            tick(now);
        }
        FleetSettings settings = mScenario.settings();
        return mMeter.result(mPolicy.name(), settings.rolloutWeight(), serialMinutes(settings));
    }

    private double serialMinutes(FleetSettings settings) {
        long one = settings.rebootTime().toMillis() + settings.drainTimeout().toMillis() / 2;
        return (double) one * mScenario.shape().vms().size() / FaultTimes.MINUTE_MS;
    }

    /** The fleet as published, with a wave just started. */
    FleetState stateInWave() {
        publish();
        startWave();
        return mState;
    }

    private void startWave() {
        Set<ZoneId> zones = new HashSet<>();
        mState.vms().forEach(vm -> zones.add(vm.zone()));
        apply(new WaveStarted(WAVE, zones, Set.of(), Changes.AUTHOR));
    }

    private void publish() {
        apply(
                new ConfigurationPublished("{}", Map.of(), mScenario.shape(), Changes.AUTHOR),
                Map.of(ObjectKey.configuration(), 0L));
        for (PoolState pool : poolsInOrder()) {
            mState.vmsOf(pool.id()).stream()
                    .map(VmState::id)
                    .sorted()
                    .limit(pool.target() + pool.reserve())
                    .forEach(vm -> apply(new VmObserved(vm, 0, VmHealth.UP, Changes.AUTHOR)));
        }
    }

    private boolean apply(Change change) {
        return apply(change, Map.of());
    }

    private boolean apply(Change change, Map<ObjectKey, Long> expects) {
        long at = mState.nextOffset();
        LogRecord record =
                new LogRecord(
                        RecordId.of("r" + at),
                        NodeId.of("driver"),
                        Optional.empty(),
                        expects,
                        change);
        return mState.apply(at, record.withBasis(mState.basis())).equals(Verdict.APPLIED);
    }

    private void tick(long now) {
        mPlatform.age(mState, now, mStepMs);
        loseRack(now);
        measureUse(now);
        if (!FaultTimes.isPlatformGone(now)) {
            mPlatform.news(mState, now).forEach(this::apply);
            operators(now);
            Observation seen = new Observation(mPlatform.dead(), mReports.getFirst());
            decide(now, seen);
        }
        mMeter.measure(mState, mPlatform, mDemand, now);
        measureWave(now);
    }

    private void decide(long now, Observation seen) {
        long from = System.nanoTime();
        List<Change> waves = mPolicy.waves(mState, seen, now);
        long between = System.nanoTime();
        waves.forEach(c -> carryOut(c, now));
        long then = System.nanoTime();
        List<Change> buffer = mPolicy.buffer(mState, seen, now);
        mMeter.decided(between - from, System.nanoTime() - then, mState.waves().size() > 0);
        buffer.forEach(c -> carryOut(c, now));
    }

    private void carryOut(Change change, long now) {
        if (!apply(change)) {
            mMeter.refused();
            return;
        }
        if (change instanceof VmActionIntended intent) {
            mPlatform.take(intent, now);
        } else if (change instanceof VmReleased move) {
            mMeter.moved();
            apply(new VmJoined(move.vm(), move.to()));
        } else if (change instanceof WaveControlled c && c.order() == WaveOrder.PAUSE) {
            mMeter.paused();
            mPausedMs = now;
        }
    }

    private void operators(long now) {
        if (now % DECLARE_MS == 0) {
            for (PoolState pool : poolsInOrder()) {
                declare(pool, mDemand.declared(pool.id(), now));
            }
        }
        if (FaultTimes.doOperatorsRace(now) && now % FaultTimes.MINUTE_MS == 0) {
            PoolState pool = poolsInOrder().get(0);
            int honest = mDemand.declared(pool.id(), now);
            declare(pool, now / FaultTimes.MINUTE_MS % 2 == 0 ? 2 * honest : honest / 2);
        }
        if (now == mWaveMs) {
            startWave();
        }
        if (now - mPausedMs >= FaultTimes.RESUME_MS) {
            mPausedMs = Long.MAX_VALUE;
            apply(new WaveControlled(WAVE, WaveOrder.RESUME, Changes.AUTHOR));
        }
    }

    private List<PoolState> poolsInOrder() {
        return mState.pools().stream().sorted(Comparator.comparing(PoolState::id)).toList();
    }

    private void declare(PoolState pool, int target) {
        if (target != pool.target()) {
            apply(new PoolTargetChanged(pool.id(), target, pool.reserve(), Changes.AUTHOR));
        }
    }

    /** A rack is lost when a quarter of the wave is done. */
    private void loseRack(long now) {
        Optional<WaveState> wave = mState.wave(WAVE);
        boolean due = wave.isPresent() && !mRackLost && maintained(wave.get()) >= 0.25;
        if (due) {
            mRackLost = true;
            VmState vm =
                    mState.vms().stream()
                            .filter(v -> v.phase() == VmPhase.SERVING)
                            .min((a, b) -> a.id().compareTo(b.id()))
                            .orElseThrow();
            mPlatform.loseRack(mState, vm.rack(), now);
        }
    }

    /** Share of the VMs that are on and were maintained. */
    private double maintained(WaveState wave) {
        int on = 0;
        int done = 0;
        for (VmState vm : mState.vms()) {
            boolean counts = vm.phase() == VmPhase.SERVING || vm.phase() == VmPhase.STOPPING;
            on += counts ? 1 : 0;
            done += counts && vm.lastMaintained() > wave.started() ? 1 : 0;
        }
        return on == 0 ? 0 : (double) done / on;
    }

    private long rebooted(WaveState wave) {
        return mState.vms().stream().filter(vm -> vm.lastMaintained() > wave.started()).count();
    }

    private void measureWave(long now) {
        Optional<WaveState> wave = mState.wave(WAVE);
        if (wave.isEmpty() || mMeter.waveEnded()) {
            return;
        }
        boolean ended = wave.get().phase() == WavePhase.FINISHED;
        mMeter.wave(now - mWaveMs, ended ? 1 : maintained(wave.get()), rebooted(wave.get()), ended);
    }

    /** Use can't be seen above what serves, and is reported a minute later. */
    private void measureUse(long now) {
        Map<PoolId, Integer> serving = new HashMap<>();
        for (VmState vm : mState.vms()) {
            if (vm.phase() == VmPhase.SERVING && !mPlatform.isDead(vm.id())) {
                serving.merge(vm.pool(), 1, Integer::sum);
            }
        }
        Map<PoolId, PoolUse> use = new HashMap<>();
        for (PoolState pool : mState.pools()) {
            double demand = mDemand.demand(pool.id(), now);
            double seen = Math.min(demand, serving.getOrDefault(pool.id(), 0));
            use.put(pool.id(), new PoolUse(now, seen, pool.target()));
        }
        mReports.addLast(use);
        while (mReports.size() > 1 + REPORT_LAG_MS / mStepMs) {
            mReports.removeFirst();
        }
    }
}
