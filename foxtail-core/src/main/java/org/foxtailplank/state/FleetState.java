package org.foxtailplank.state;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.ToLongFunction;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.RecordId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.TeamId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.WaveId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.internal.state.ConfigurationFold;
import org.foxtailplank.internal.state.FleetIndex;
import org.foxtailplank.internal.state.FrozenObjects;
import org.foxtailplank.internal.state.JobFold;
import org.foxtailplank.internal.state.RecordWindow;
import org.foxtailplank.internal.state.Verdicts;
import org.foxtailplank.internal.state.VmFold;
import org.foxtailplank.internal.state.WaveFold;

/** The fleet state, folded from log records in offset order. */
public final class FleetState implements FleetView {
    private final FleetIndex mIndex = new FleetIndex();
    private final WaveFold mWaves = new WaveFold();
    private final VmFold mVms = new VmFold(mIndex, mWaves);
    private final JobFold mJobs = new JobFold(mIndex);
    private final ConfigurationFold mConfiguration = new ConfigurationFold(mIndex);
    private final FrozenObjects mFrozen = new FrozenObjects(mIndex);
    private final Map<ZoneId, EpochState> mEpochs = new HashMap<>();
    private final Map<TeamId, TeamQuota> mQuotas = new HashMap<>();
    private RecordWindow mWindow = RecordWindow.empty();
    private long mNext = 1;

    /** Returns the state that a snapshot describes. */
    public static FleetState of(FleetSnapshot s) {
        FleetState state = new FleetState();
        state.mNext = s.nextOffset();
        state.mWindow = RecordWindow.of(s.window());
        s.configuration().ifPresent(state.mConfiguration::restore);
        s.poolDefinitions().forEach(state.mConfiguration::restore);
        s.minAvailable().forEach(state.mIndex::setMinAvailable);
        s.pools().forEach(state.mIndex::put);
        s.vms().forEach(state.mIndex::put);
        s.waves().forEach(state.mWaves::put);
        s.jobs().forEach(state.mJobs::restore);
        s.epochs().forEach(e -> state.mEpochs.put(e.shard(), e));
        state.mQuotas.putAll(s.quotas());
        return state;
    }

    /**
     * Returns a snapshot of the state; empty while any object is frozen, because this state is then
     * incomplete.
     */
    public Optional<FleetSnapshot> snapshot() {
        if (!mFrozen.keys().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new FleetSnapshot(
                        mNext,
                        mWindow.contents(),
                        configuration(),
                        mConfiguration.poolDefinitions(),
                        mIndex.minAvailable(),
                        List.copyOf(mIndex.pools()),
                        List.copyOf(mIndex.vms()),
                        sorted(mWaves.waves(), WaveState::version),
                        sorted(mJobs.jobs(), JobState::version),
                        List.copyOf(mEpochs.values()),
                        mQuotas));
    }

    private static <T> List<T> sorted(Collection<T> values, ToLongFunction<T> version) {
        return values.stream().sorted(Comparator.comparingLong(version)).toList();
    }

    /** Returns the basis for a record that is created now. */
    public Basis basis() {
        return new Basis(mNext, mWindow.digest(mNext));
    }

    /** Returns whether the last folded record may have this id. */
    public boolean endsWith(RecordId id) {
        return mayContain(id, mNext - 1);
    }

    /**
     * Returns whether the record at an offset may have this id; false if the offset has left the
     * window.
     */
    public boolean mayContain(RecordId id, long offset) {
        boolean known = offset >= 1 && offset < mNext && mNext < offset + RecordWindow.SIZE;
        return known && mWindow.mayContain(id, offset);
    }

    /**
     * Returns whether a newer state may extend this one; true if the window is too short to tell.
     */
    public boolean isPrefixOf(FleetSnapshot further) {
        RecordWindow w = RecordWindow.of(further.window());
        boolean known = further.nextOffset() < mNext + RecordWindow.SIZE;
        return !known || w.digest(mNext) == mWindow.digest(mNext);
    }

    /**
     * Folds the next record.
     *
     * @throws IllegalStateException if the offset is not the next one
     */
    public Verdict apply(long offset, LogRecord record) {
        expectNext(offset);
        boolean sameHistory = matchesHistory(record.basis());
        boolean isNew = mWindow.add(record.id(), offset);
        mNext++;
        if (!isNew) {
            return Verdict.refused(VoidReason.DUPLICATE_ID, record.id().value());
        }
        if (!RecordWindow.covers(record.basis(), offset)) {
            return Verdict.refused(
                    VoidReason.TOO_LATE, "basis is too old: offset " + record.basis().offset());
        }
        if (!sameHistory) {
            return Verdict.refused(
                    VoidReason.OTHER_HISTORY,
                    "basis has another digest at offset " + record.basis().offset());
        }
        Optional<Verdict> stale = checkStale(record);
        if (stale.isPresent()) {
            return stale.get();
        }
        Optional<ObjectKey> obstacle = mFrozen.blockingKey(record);
        if (obstacle.isPresent() || record.change() instanceof UnknownChange) {
            mFrozen.freeze(record.change().touches());
            return Verdict.refused(
                    VoidReason.NOT_UNDERSTOOD,
                    obstacle.map(k -> Verdicts.text(k) + " is frozen")
                            .orElse("unknown kind of change"));
        }
        return applyChange(offset, record);
    }

    /** Skips a log entry that is not a record; it is void for every reader alike. */
    public Verdict skip(long offset, RecordId id) {
        expectNext(offset);
        mWindow.add(id, offset);
        mNext++;
        return Verdicts.malformed("the entry is not a record");
    }

    private void expectNext(long offset) {
        if (offset != mNext) {
            throw new IllegalStateException("offset " + offset + " does not follow " + (mNext - 1));
        }
    }

    /** Returns whether a basis is within the window and matches the records folded here. */
    public boolean matchesHistory(Basis basis) {
        boolean known = basis.offset() <= mNext && RecordWindow.covers(basis, mNext);
        return known && mWindow.digest(basis.offset()) == basis.digest();
    }

    /** Returns whether a basis is within the window and does not match the records folded here. */
    public boolean conflictsWith(Basis basis) {
        return RecordWindow.covers(basis, mNext) && !matchesHistory(basis);
    }

    private Optional<Verdict> checkStale(LogRecord r) {
        Optional<Verdict> epoch = r.epoch().flatMap(e -> checkEpoch(r, e));
        return epoch.isPresent() ? epoch : checkVersions(r);
    }

    /**
     * Guards against a paused controller that resumes after another one took its shard: both would
     * act on it. The records of the first one carry an old epoch and are void.
     */
    private Optional<Verdict> checkEpoch(LogRecord r, ActingEpoch epoch) {
        if (mFrozen.contains(ObjectKey.of(epoch.shard()))) {
            return Optional.empty();
        }
        EpochState now = epoch(epoch.shard());
        boolean holds =
                now.number() == epoch.number() && now.holder().equals(Optional.of(r.writer()));
        if (!holds) {
            return Optional.of(
                    Verdict.refused(
                            VoidReason.STALE_EPOCH,
                            "%s is in epoch %d, held by %s"
                                    .formatted(
                                            epoch.shard(),
                                            now.number(),
                                            now.holder().map(Object::toString).orElse("nobody"))));
        }
        Optional<ZoneId> zone = zoneOf(r.change());
        if (zone.isPresent() && !zone.get().equals(epoch.shard())) {
            return Optional.of(
                    Verdicts.malformed(
                            "epoch of " + epoch.shard() + " used for a change in " + zone.get()));
        }
        return Optional.empty();
    }

    private Optional<ZoneId> zoneOf(Change c) {
        if (c instanceof VmChange v) {
            return mIndex.vm(v.vm()).map(VmState::zone);
        }
        return c instanceof WaveFinished w ? Optional.of(w.zone()) : Optional.empty();
    }

    private Optional<Verdict> checkVersions(LogRecord r) {
        for (Map.Entry<ObjectKey, Long> e : r.expects().entrySet()) {
            long found = version(e.getKey());
            if (found != e.getValue() && !mFrozen.contains(e.getKey())) {
                return Optional.of(
                        Verdict.refused(
                                VoidReason.STALE_VERSION,
                                "%s is at version %d, not %d"
                                        .formatted(
                                                Verdicts.text(e.getKey()), found, e.getValue())));
            }
        }
        return Optional.empty();
    }

    private Verdict applyChange(long offset, LogRecord r) {
        Change change = r.change();
        if (change instanceof VmChange c) {
            return mVms.apply(offset, c);
        } else if (change instanceof JobChange c) {
            return mJobs.apply(offset, c);
        } else if (change instanceof WaveChange c) {
            return mWaves.apply(offset, c);
        } else if (change instanceof EpochTaken c) {
            return applyEpochTaken(offset, c);
        } else if (change instanceof PoolTargetChanged c) {
            return applyPoolTarget(offset, c);
        } else if (change instanceof TeamQuotaChanged c) {
            mQuotas.put(c.team(), new TeamQuota(c.quota(), offset));
            return Verdict.APPLIED;
        } else if (change instanceof ConfigurationChange c) {
            // Without an expected version, a delayed publication would overwrite a newer one.
            return r.expects().containsKey(ObjectKey.configuration())
                    ? mConfiguration.apply(offset, c)
                    : Verdicts.malformed("a configuration change must expect a version");
        }
        return Verdicts.malformed(change + " can't be folded");
    }

    private Verdict applyEpochTaken(long offset, EpochTaken c) {
        EpochState now = epoch(c.shard());
        if (now.number() != c.replaces()) {
            return Verdict.refused(
                    VoidReason.STALE_EPOCH, c.shard() + " is in epoch " + now.number());
        }
        mEpochs.put(
                c.shard(),
                new EpochState(c.shard(), now.number() + 1, Optional.of(c.holder()), offset));
        return Verdict.APPLIED;
    }

    private Verdict applyPoolTarget(long offset, PoolTargetChanged c) {
        Optional<PoolState> pool = mIndex.pool(c.pool());
        if (pool.isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(c.pool()));
        }
        if (c.target() < 0 || c.reserve() < 0) {
            return Verdicts.malformed("the target of pool " + c.pool() + " is below 0");
        }
        mIndex.put(new PoolState(c.pool(), pool.get().service(), c.target(), c.reserve(), offset));
        return Verdict.APPLIED;
    }

    @Override
    public long nextOffset() {
        return mNext;
    }

    @Override
    public Optional<Configuration> configuration() {
        return mConfiguration.current();
    }

    @Override
    public Optional<VmState> vm(VmId id) {
        return mIndex.vm(id);
    }

    @Override
    public Collection<VmState> vms() {
        return mIndex.vms();
    }

    @Override
    public Collection<VmState> vmsOf(PoolId pool) {
        return mIndex.vmsOf(pool);
    }

    @Override
    public Optional<PoolState> pool(PoolId id) {
        return mIndex.pool(id);
    }

    @Override
    public Collection<PoolState> pools() {
        return mIndex.pools();
    }

    @Override
    public Optional<WaveState> wave(WaveId id) {
        return mWaves.wave(id);
    }

    @Override
    public Collection<WaveState> waves() {
        return mWaves.waves();
    }

    @Override
    public Optional<JobState> job(JobId id) {
        return mJobs.job(id);
    }

    @Override
    public Collection<JobState> jobs() {
        return mJobs.jobs();
    }

    @Override
    public EpochState epoch(ZoneId shard) {
        EpochState e = mEpochs.get(shard);
        return e == null ? new EpochState(shard, 0, Optional.empty(), 0) : e;
    }

    @Override
    public OptionalDouble teamQuota(TeamId team) {
        TeamQuota q = mQuotas.get(team);
        return q == null ? OptionalDouble.empty() : OptionalDouble.of(q.quota());
    }

    @Override
    public boolean isFrozen(ObjectKey key) {
        return mFrozen.contains(key);
    }

    @Override
    public int minAvailable(ServiceId service) {
        return mIndex.minAvailable(service);
    }

    @Override
    public long version(ObjectKey key) {
        String n = key.name();
        return switch (key.kind()) {
            case CONFIGURATION -> mConfiguration.version();
            case SHARD -> epoch(ZoneId.of(n)).version();
            case VM -> mIndex.vm(VmId.of(n)).map(VmState::version).orElse(0L);
            case POOL -> mIndex.pool(PoolId.of(n)).map(PoolState::version).orElse(0L);
            case TEAM ->
                    mQuotas.containsKey(TeamId.of(n)) ? mQuotas.get(TeamId.of(n)).version() : 0L;
            case WAVE -> mWaves.wave(WaveId.of(n)).map(WaveState::version).orElse(0L);
            case JOB -> mJobs.job(JobId.of(n)).map(JobState::version).orElse(0L);
        };
    }
}
