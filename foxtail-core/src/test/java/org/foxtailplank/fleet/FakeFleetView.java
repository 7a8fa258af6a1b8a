package org.foxtailplank.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.ChangeAuthor;
import org.foxtailplank.state.Configuration;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.PoolState;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** A mutable {@link FleetView} for tests; each change takes the next offset. */
public final class FakeFleetView implements FleetView {

    private final Map<VmId, VmState> mVms = new LinkedHashMap<>();
    private final Map<PoolId, PoolState> mPools = new LinkedHashMap<>();
    private final Map<ServiceId, Integer> mMinAvailable = new LinkedHashMap<>();
    private final Map<WaveId, WaveState> mWaves = new LinkedHashMap<>();
    private final Map<JobId, JobState> mJobs = new LinkedHashMap<>();
    private long mOffset = 1;

    /** Adds a pool that runs a service of the same name. */
    public FakeFleetView pool(String name, int minAvailable, int target, int reserve) {
        ServiceId service = ServiceId.of(name);
        PoolId id = PoolId.of(name);
        mMinAvailable.put(service, minAvailable);
        mPools.put(id, new PoolState(id, Optional.of(service), target, reserve, mOffset++));
        return this;
    }

    /** Adds VMs to a pool, spread evenly over racks that are named after the zone. */
    public FakeFleetView vms(String pool, String zone, int racks, int count, VmPhase phase) {
        for (int i = 0; i < count; i++) {
            VmId id = VmId.of(pool + "-" + zone + "-" + phase.name().toLowerCase() + i);
            mVms.put(
                    id,
                    new VmState(
                            id,
                            ZoneId.of(zone),
                            RackId.of(zone + "-r" + i % racks),
                            PoolId.of(pool),
                            1,
                            phase,
                            1,
                            Optional.empty(),
                            Optional.empty(),
                            Optional.empty(),
                            0,
                            mOffset++));
        }
        return this;
    }

    /** Adds a running wave over zones. */
    public WaveState wave(String name, String... zones) {
        Set<ZoneId> all = new java.util.HashSet<>();
        for (String zone : zones) {
            all.add(ZoneId.of(zone));
        }
        long at = mOffset++;
        WaveState wave =
                new WaveState(
                        WaveId.of(name),
                        all,
                        Set.of(),
                        Set.of(),
                        WavePhase.RUNNING,
                        new ChangeAuthor("test", "test"),
                        at,
                        at);
        mWaves.put(wave.id(), wave);
        return wave;
    }

    /** Resumes a wave. */
    public WaveState resumed(WaveState w) {
        WaveState next =
                new WaveState(
                        w.id(),
                        w.zones(),
                        w.pools(),
                        w.finished(),
                        WavePhase.RUNNING,
                        w.lastOrder(),
                        w.started(),
                        mOffset++);
        mWaves.put(w.id(), next);
        return next;
    }

    /** Sets an action of a VM as pending. */
    public void intend(VmId vm, VmAction action, Optional<WaveId> wave) {
        VmPhase phase = action == VmAction.WAKE ? VmPhase.WAKING : VmPhase.STOPPING;
        put(vm, v -> with(v, phase, Optional.of(action), wave, v.lastMaintained()));
    }

    /** Completes the pending action of a VM. */
    public void done(VmId vm) {
        VmState v = mVms.get(vm);
        VmAction action = v.pending().orElseThrow();
        VmPhase phase = action == VmAction.SLEEP ? VmPhase.OFF : VmPhase.SERVING;
        long maintained = action == VmAction.REBOOT ? mOffset : v.lastMaintained();
        put(vm, s -> with(s, phase, Optional.empty(), s.wave(), maintained));
    }

    /** Fails the pending action of a VM. */
    public void failed(VmId vm) {
        put(vm, v -> with(v, VmPhase.BROKEN, Optional.empty(), v.wave(), v.lastMaintained()));
    }

    /** Changes the target of a pool. */
    public void target(String pool, int target) {
        PoolState p = mPools.get(PoolId.of(pool));
        mPools.put(p.id(), new PoolState(p.id(), p.service(), target, p.reserve(), mOffset++));
    }

    /** Adds a job. */
    public void job(JobState job) {
        mJobs.put(job.id(), job);
    }

    private void put(VmId vm, UnaryOperator<VmState> change) {
        mVms.compute(vm, (k, v) -> change.apply(v));
    }

    private VmState with(
            VmState v,
            VmPhase phase,
            Optional<VmAction> pending,
            Optional<WaveId> wave,
            long maintained) {
        return new VmState(
                v.id(),
                v.zone(),
                v.rack(),
                v.pool(),
                v.poolGeneration(),
                phase,
                v.generation() + 1,
                pending,
                wave,
                v.joining(),
                maintained,
                mOffset++);
    }

    @Override
    public long nextOffset() {
        return mOffset;
    }

    @Override
    public Optional<Configuration> configuration() {
        return Optional.empty();
    }

    @Override
    public Optional<VmState> vm(VmId id) {
        return Optional.ofNullable(mVms.get(id));
    }

    @Override
    public Collection<VmState> vms() {
        return mVms.values();
    }

    @Override
    public Collection<VmState> vmsOf(PoolId pool) {
        return mVms.values().stream().filter(v -> v.pool().equals(pool)).toList();
    }

    @Override
    public Optional<PoolState> pool(PoolId id) {
        return Optional.ofNullable(mPools.get(id));
    }

    @Override
    public Collection<PoolState> pools() {
        return mPools.values();
    }

    @Override
    public Optional<WaveState> wave(WaveId id) {
        return Optional.ofNullable(mWaves.get(id));
    }

    @Override
    public Collection<WaveState> waves() {
        return mWaves.values();
    }

    @Override
    public Optional<JobState> job(JobId id) {
        return Optional.ofNullable(mJobs.get(id));
    }

    @Override
    public Collection<JobState> jobs() {
        return mJobs.values();
    }

    @Override
    public EpochState epoch(ZoneId shard) {
        return new EpochState(shard, 0, Optional.empty(), 0);
    }

    @Override
    public int minAvailable(ServiceId service) {
        return mMinAvailable.getOrDefault(service, 0);
    }

    @Override
    public long version(ObjectKey key) {
        return 0;
    }
}
