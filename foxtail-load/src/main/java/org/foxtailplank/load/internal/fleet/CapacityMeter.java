package org.foxtailplank.load.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** Adds up what a run costs. */
final class CapacityMeter {

    /** The least that a rack can hold of a service; its loss is kept in reserve. */
    private static final int RACK = 1;

    /** The fleet starts with everything on, whoever decides. */
    private static final long WARM_UP_MS = FaultTimes.HOUR_MS;

    private static final double NANOS_OF_MS = 1e6;

    private final Histogram mWaveNanos = new Histogram(3);
    private final Histogram mBufferNanos = new Histogram(3);
    private double mBuffer;
    private double mSpare;
    private double mBufferPeak;
    private double mShort;
    private long mTicks;
    private long mWaveMs;
    private double mWaveDone;
    private boolean mWaveEnded;
    private long mRebooted;
    private int mMoves;
    private int mViolations;
    private int mRefused;
    private int mPauses;

    /** VMs of one pool. */
    private static final class Count {
        private int mOn;
        private int mServing;
    }

    void measure(FleetView view, FakePlatform platform, DemandModel model, long now) {
        if (now < WARM_UP_MS) {
            return;
        }
        Map<PoolId, Count> counts = new HashMap<>();
        for (VmState vm : view.vms()) {
            Count c = counts.computeIfAbsent(vm.pool(), p -> new Count());
            boolean dead = platform.isDead(vm.id());
            c.mOn += isOn(vm) && !dead ? 1 : 0;
            c.mServing += vm.phase() == VmPhase.SERVING && !dead ? 1 : 0;
        }
        double buffer = 0;
        double spare = 0;
        for (PoolState pool : view.pools()) {
            Count c = counts.getOrDefault(pool.id(), new Count());
            double demand = model.demand(pool.id(), now);
            int floor = pool.service().map(view::minAvailable).orElse(0);
            spare += Math.max(0, c.mOn - Math.max(demand, floor));
            buffer += Math.max(0, c.mOn - Math.max(demand + pool.reserve(), floor + RACK));
            mShort += Math.max(0, demand - c.mServing);
            mViolations += c.mServing < floor ? 1 : 0;
        }
        mBuffer += buffer;
        mSpare += spare;
        mBufferPeak = Math.max(mBufferPeak, buffer);
        mTicks++;
    }

    private static boolean isOn(VmState vm) {
        return vm.phase() != VmPhase.OFF && vm.phase() != VmPhase.BROKEN;
    }

    void decided(long waveNanos, long bufferNanos, boolean inWave) {
        if (inWave) {
            mWaveNanos.recordValue(waveNanos);
        }
        mBufferNanos.recordValue(bufferNanos);
    }

    void wave(long tookMs, double done, long rebooted, boolean ended) {
        mRebooted = rebooted;
        mWaveMs = tookMs;
        mWaveDone = done;
        mWaveEnded = ended;
    }

    boolean waveEnded() {
        return mWaveEnded;
    }

    void moved() {
        mMoves++;
    }

    void refused() {
        mRefused++;
    }

    void paused() {
        mPauses++;
    }

    CapacityResult result(String policy, double weight, double serialMinutes) {
        return new CapacityResult(
                policy,
                weight,
                mBuffer / mTicks,
                mBufferPeak,
                mSpare / mTicks,
                mShort / mTicks,
                serialMinutes,
                (double) mWaveMs / FaultTimes.MINUTE_MS,
                mWaveDone,
                mRebooted,
                mMoves,
                mViolations,
                mRefused,
                mPauses,
                mWaveNanos.getValueAtPercentile(99) / NANOS_OF_MS,
                mBufferNanos.getValueAtPercentile(99) / NANOS_OF_MS);
    }
}
