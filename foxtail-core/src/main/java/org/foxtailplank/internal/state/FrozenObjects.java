package org.foxtailplank.internal.state;

import java.util.Collections;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.Change;
import org.foxtailplank.state.EpochTaken;
import org.foxtailplank.state.LogRecord;
import org.foxtailplank.state.ObjectKey;
import org.foxtailplank.state.VmActionIntended;
import org.foxtailplank.state.VmReleased;

/**
 * Objects whose state is unknown here, because a change of an unknown kind touched them.
 *
 * <p>Guards against divergence during a rolling upgrade: an older node would judge later records
 * differently from the newer nodes. A record that depends on a frozen object freezes the objects
 * that it touches. Objects stay frozen until the program is upgraded.
 */
public final class FrozenObjects {
    private final FleetIndex mIndex;
    private final Set<ObjectKey> mFrozen = new HashSet<>();
    private final Set<ServiceId> mServices = new HashSet<>();

    public FrozenObjects(FleetIndex index) {
        mIndex = index;
    }

    public boolean contains(ObjectKey key) {
        return mFrozen.contains(key);
    }

    public Set<ObjectKey> keys() {
        return Collections.unmodifiableSet(mFrozen);
    }

    /** Returns a frozen object that a record depends on; empty if there is none. */
    public Optional<ObjectKey> blockingKey(LogRecord r) {
        if (mFrozen.isEmpty()) {
            return Optional.empty();
        }
        Change c = r.change();
        Set<ObjectKey> needed = new HashSet<>(c.touches());
        needed.addAll(c.reads());
        needed.addAll(r.expects().keySet());
        r.epoch().ifPresent(e -> needed.add(ObjectKey.of(e.shard())));
        if (!(c instanceof EpochTaken)) {
            needed.add(ObjectKey.configuration());
        }
        Optional<ObjectKey> direct = needed.stream().filter(mFrozen::contains).min(ObjectKey.ORDER);
        return direct.or(() -> frozenBudget(c));
    }

    /** Returns the pool of a stopped VM if its service's budget depends on a frozen VM or pool. */
    private Optional<ObjectKey> frozenBudget(Change c) {
        Optional<VmId> stopped = Optional.empty();
        if (c instanceof VmActionIntended i) {
            stopped = Optional.of(i.vm());
        } else if (c instanceof VmReleased r) {
            stopped = Optional.of(r.vm());
        }
        return stopped.flatMap(mIndex::vm)
                .filter(v -> mIndex.serviceOf(v.pool()).map(mServices::contains).orElse(false))
                .map(v -> ObjectKey.of(v.pool()));
    }

    public void freeze(Set<ObjectKey> keys) {
        for (ObjectKey k : keys) {
            mFrozen.add(k);
            switch (k.kind()) {
                case VM ->
                        mIndex.vm(VmId.of(k.name()))
                                .ifPresent(
                                        v -> {
                                            freezeServiceOf(v.pool());
                                            v.joining().ifPresent(this::freezeServiceOf);
                                        });
                case POOL -> freezeServiceOf(PoolId.of(k.name()));
                default -> {
                    // Other kinds don't affect budgets.
                }
            }
        }
    }

    private void freezeServiceOf(PoolId pool) {
        mIndex.serviceOf(pool).ifPresent(mServices::add);
    }
}
