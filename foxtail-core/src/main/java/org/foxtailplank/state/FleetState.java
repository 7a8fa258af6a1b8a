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
import org.foxtailplank.internal.state.FrozenObjects;
import org.foxtailplank.internal.state.JobFold;
import org.foxtailplank.internal.state.RecordWindow;
import org.foxtailplank.internal.state.Verdicts;
import org.foxtailplank.internal.state.VmFold;
import org.foxtailplank.internal.state.VmTable;
import org.foxtailplank.internal.state.WaveFold;

/** The whole state, folded from records in the order of their offsets. */
public final class FleetState implements FleetView {
    private final VmTable mTable = new VmTable();
    private final WaveFold mWaves = new WaveFold();
    private final VmFold mVms = new VmFold(mTable, mWaves);
    private final JobFold mJobs = new JobFold(mTable);
    private final ConfigurationFold mConfiguration = new ConfigurationFold(mTable);
    private final FrozenObjects mFrozen = new FrozenObjects(mTable);
    private final Map<ZoneId, EpochState> mEpochs = new HashMap<>();
    private final Map<TeamId, TeamQuota> mQuotas = new HashMap<>();
    private RecordWindow mWindow = RecordWindow.empty();
    private long mNext = 1;

    /** The state at a snapshot. */
    public static FleetState of(FleetSnapshot s) {
        FleetState state = new FleetState();
        state.mNext = s.nextOffset();
        state.mWindow = RecordWindow.of(s.window());
        s.configuration().ifPresent(state.mConfiguration::restore);
        s.shapes().forEach(state.mConfiguration::restore);
        s.minAvailable().forEach(state.mTable::setMinAvailable);
        s.pools().forEach(state.mTable::put);
        s.vms().forEach(state.mTable::put);
        s.waves().forEach(state.mWaves::put);
        s.jobs().forEach(state.mJobs::restore);
        s.epochs().forEach(e -> state.mEpochs.put(e.shard(), e));
        state.mQuotas.putAll(s.quotas());
        return state;
    }

    /** A snapshot of the state; empty while anything is frozen, since others know it better. */
    public Optional<FleetSnapshot> snapshot() {
        if (!mFrozen.keys().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new FleetSnapshot(
                        mNext,
                        mWindow.contents(),
                        configuration(),
                        mConfiguration.shapes(),
                        mTable.minAvailable(),
                        List.copyOf(mTable.pools()),
                        List.copyOf(mTable.vms()),
                        sorted(mWaves.waves(), WaveState::version),
                        sorted(mJobs.jobs(), JobState::version),
                        List.copyOf(mEpochs.values()),
                        mQuotas));
    }

    private static <T> List<T> sorted(Collection<T> values, ToLongFunction<T> version) {
        return values.stream().sorted(Comparator.comparingLong(version)).toList();
    }

    /** What a record made now is based on. */
    public Basis basis() {
        return new Basis(mNext, mWindow.digest(mNext));
    }

    /** Whether the last record folded may be the one of this id. */
    public boolean endsWith(RecordId id) {
        return mayHold(id, mNext - 1);
    }

    /** Whether a record with this id may stand at an offset; false for one that is too old. */
    public boolean mayHold(RecordId id, long offset) {
        boolean known = offset >= 1 && offset < mNext && mNext < offset + RecordWindow.SIZE;
        return known && mWindow.mayHold(id, offset);
    }

    /** Whether a state that goes further leads on from this one, as far as can be told. */
    public boolean leadsTo(FleetSnapshot further) {
        RecordWindow w = RecordWindow.of(further.window());
        boolean known = further.nextOffset() < mNext + RecordWindow.SIZE;
        return !known || w.digest(mNext) == mWindow.digest(mNext);
    }

    /**
     * Folds the next record.
     *
     * @throws IllegalStateException if a record is left out or comes twice: a broken invariant
     */
    public Verdict apply(long offset, LogRecord record) {
        expectNext(offset);
        boolean sameHistory = isOfThisHistory(record.basis());
        boolean isNew = mWindow.add(record.id(), offset);
        mNext++;
        if (!isNew) {
            return Verdict.refused(VoidReason.DUPLICATE_ID, record.id().value());
        }
        if (!RecordWindow.covers(record.basis(), offset)) {
            return Verdict.refused(VoidReason.TOO_LATE, "made at " + record.basis().offset());
        }
        if (!sameHistory) {
            return Verdict.refused(VoidReason.OTHER_HISTORY, "made at " + record.basis().offset());
        }
        Optional<Verdict> stale = stale(record);
        if (stale.isPresent()) {
            return stale.get();
        }
        Optional<ObjectKey> obstacle = mFrozen.obstacle(record);
        if (obstacle.isPresent() || record.change() instanceof NotUnderstood) {
            mFrozen.freeze(record.change().touches());
            return Verdict.refused(
                    VoidReason.NOT_UNDERSTOOD,
                    obstacle.map(k -> Verdicts.text(k) + " is frozen").orElse("newer kind"));
        }
        return change(offset, record);
    }

    /** Passes over an entry of the log that is no record; it is void for every reader alike. */
    public Verdict skip(long offset, RecordId id) {
        expectNext(offset);
        mWindow.add(id, offset);
        mNext++;
        return Verdicts.malformed("the entry is no record");
    }

    private void expectNext(long offset) {
        if (offset != mNext) {
            throw new IllegalStateException("offset " + offset + " follows on " + (mNext - 1));
        }
    }

    /** Whether a basis that is not too old stands for the records folded here. */
    public boolean isOfThisHistory(Basis basis) {
        boolean known = basis.offset() <= mNext && RecordWindow.covers(basis, mNext);
        return known && mWindow.digest(basis.offset()) == basis.digest();
    }

    /** Whether a basis that is not too old stands for other records than those folded here. */
    public boolean contradicts(Basis basis) {
        return RecordWindow.covers(basis, mNext) && !isOfThisHistory(basis);
    }

    private Optional<Verdict> stale(LogRecord r) {
        Optional<Verdict> epoch = r.epoch().flatMap(e -> staleEpoch(r, e));
        return epoch.isPresent() ? epoch : staleVersion(r);
    }

    /**
     * Guards against a controller that was paused and goes on: another one has taken the shard
     * meanwhile, and acts of both would overlap. Its records carry the epoch it knew and are void.
     */
    private Optional<Verdict> staleEpoch(LogRecord r, ActingEpoch epoch) {
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
                    Verdicts.malformed("epoch of " + epoch.shard() + " used in " + zone.get()));
        }
        return Optional.empty();
    }

    private Optional<ZoneId> zoneOf(Change c) {
        if (c instanceof VmChange v) {
            return mTable.vm(v.vm()).map(VmState::zone);
        }
        return c instanceof WaveFinished w ? Optional.of(w.zone()) : Optional.empty();
    }

    private Optional<Verdict> staleVersion(LogRecord r) {
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

    private Verdict change(long at, LogRecord r) {
        Change change = r.change();
        if (change instanceof VmChange c) {
            return mVms.apply(at, c);
        } else if (change instanceof JobChange c) {
            return mJobs.apply(at, c);
        } else if (change instanceof WaveChange c) {
            return mWaves.apply(at, c);
        } else if (change instanceof EpochTaken c) {
            return taken(at, c);
        } else if (change instanceof PoolTargetChanged c) {
            return targeted(at, c);
        } else if (change instanceof TeamQuotaChanged c) {
            mQuotas.put(c.team(), new TeamQuota(c.quota(), at));
            return Verdict.APPLIED;
        } else if (change instanceof ConfigurationChange c) {
            // Without the version it was made from, a late publish would undo a newer one.
            return r.expects().containsKey(ObjectKey.configuration())
                    ? mConfiguration.apply(at, c)
                    : Verdicts.malformed("it does not name the version it was made from");
        }
        return Verdicts.malformed(change + " is not to be folded");
    }

    private Verdict taken(long at, EpochTaken c) {
        EpochState now = epoch(c.shard());
        if (now.number() != c.replaces()) {
            return Verdict.refused(
                    VoidReason.STALE_EPOCH, c.shard() + " is in epoch " + now.number());
        }
        mEpochs.put(
                c.shard(),
                new EpochState(c.shard(), now.number() + 1, Optional.of(c.holder()), at));
        return Verdict.APPLIED;
    }

    private Verdict targeted(long at, PoolTargetChanged c) {
        Optional<PoolState> pool = mTable.pool(c.pool());
        if (pool.isEmpty()) {
            return Verdicts.unknown(ObjectKey.of(c.pool()));
        }
        if (c.target() < 0 || c.reserve() < 0) {
            return Verdicts.malformed("the target of pool " + c.pool() + " is below 0");
        }
        mTable.put(new PoolState(c.pool(), pool.get().service(), c.target(), c.reserve(), at));
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
        return mTable.vm(id);
    }

    @Override
    public Collection<VmState> vms() {
        return mTable.vms();
    }

    @Override
    public Collection<VmState> vmsOf(PoolId pool) {
        return mTable.vmsOf(pool);
    }

    @Override
    public Optional<PoolState> pool(PoolId id) {
        return mTable.pool(id);
    }

    @Override
    public Collection<PoolState> pools() {
        return mTable.pools();
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
        return mTable.minAvailable(service);
    }

    @Override
    public long version(ObjectKey key) {
        String n = key.name();
        return switch (key.kind()) {
            case CONFIGURATION -> mConfiguration.version();
            case SHARD -> epoch(ZoneId.of(n)).version();
            case VM -> mTable.vm(VmId.of(n)).map(VmState::version).orElse(0L);
            case POOL -> mTable.pool(PoolId.of(n)).map(PoolState::version).orElse(0L);
            case TEAM ->
                    mQuotas.containsKey(TeamId.of(n)) ? mQuotas.get(TeamId.of(n)).version() : 0L;
            case WAVE -> mWaves.wave(WaveId.of(n)).map(WaveState::version).orElse(0L);
            case JOB -> mJobs.job(JobId.of(n)).map(JobState::version).orElse(0L);
        };
    }
}
