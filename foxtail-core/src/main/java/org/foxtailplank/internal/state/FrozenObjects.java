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
 * Objects whose state this program can't know, because a newer kind of change touched them.
 *
 * <p>Guards against an older node that guesses in a rolling upgrade: it would judge later records
 * otherwise than the newer nodes and act on a state that nobody else has. Whatever depends on a
 * frozen object freezes what it touches in turn. The node thaws when its program is replaced.
 */
public final class FrozenObjects {
    private final VmTable mTable;
    private final Set<ObjectKey> mFrozen = new HashSet<>();
    private final Set<ServiceId> mServices = new HashSet<>();

    public FrozenObjects(VmTable table) {
        mTable = table;
    }

    public boolean contains(ObjectKey key) {
        return mFrozen.contains(key);
    }

    public Set<ObjectKey> keys() {
        return Collections.unmodifiableSet(mFrozen);
    }

    /** The frozen object that keeps a record from being judged. */
    public Optional<ObjectKey> obstacle(LogRecord r) {
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
        return direct.or(() -> budgetOf(c));
    }

    /** A stop can't be judged once any VM or pool of its service is frozen. */
    private Optional<ObjectKey> budgetOf(Change c) {
        Optional<VmId> stopped = Optional.empty();
        if (c instanceof VmActionIntended i) {
            stopped = Optional.of(i.vm());
        } else if (c instanceof VmReleased r) {
            stopped = Optional.of(r.vm());
        }
        return stopped.flatMap(mTable::vm)
                .filter(v -> mTable.serviceOf(v.pool()).map(mServices::contains).orElse(false))
                .map(v -> ObjectKey.of(v.pool()));
    }

    public void freeze(Set<ObjectKey> keys) {
        for (ObjectKey k : keys) {
            mFrozen.add(k);
            switch (k.kind()) {
                case VM ->
                        mTable.vm(VmId.of(k.name()))
                                .ifPresent(
                                        v -> {
                                            freezeServiceOf(v.pool());
                                            v.joining().ifPresent(this::freezeServiceOf);
                                        });
                case POOL -> freezeServiceOf(PoolId.of(k.name()));
                default -> {
                    // Other kinds don't count towards a budget.
                }
            }
        }
    }

    private void freezeServiceOf(PoolId pool) {
        mTable.serviceOf(pool).ifPresent(mServices::add);
    }
}
