package org.foxtailplank.internal.buffer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.VmMove;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.FleetSettings;
import org.foxtailplank.state.VmState;

/**
 * Moves VMs that are off from pools with a sustained surplus to pools with a sustained shortage.
 */
final class PoolMover {

    private final long mHoldMs;
    private final Map<PoolId, PoolHistory> mPools;
    private final Map<PoolId, PoolRacks> mRacks;
    private final Map<VmId, Long> mMoved;
    private final Map<PoolId, Integer> mSpare = new HashMap<>();

    PoolMover(
            FleetSettings settings,
            Map<PoolId, PoolHistory> pools,
            Map<PoolId, PoolRacks> racks,
            Map<VmId, Long> moved) {
        mHoldMs = settings.moveCooldown().toMillis();
        mPools = pools;
        mRacks = racks;
        mMoved = moved;
    }

    List<VmMove> moves(long nowMs) {
        mPools.forEach((id, h) -> mSpare.put(id, h.spare().sustained(nowMs, mHoldMs)));
        List<VmMove> moves = new ArrayList<>();
        for (PoolId pool : mRacks.keySet()) {
            int shortage = mPools.get(pool).shortage().sustained(nowMs, mHoldMs);
            for (int i = 0; i < shortage; i++) {
                moveTo(pool, shortage).ifPresent(moves::add);
            }
        }
        return moves;
    }

    private Optional<VmMove> moveTo(PoolId pool, int shortage) {
        Comparator<PoolId> bySpare = Comparator.comparingInt(mSpare::get);
        Optional<PoolId> donor =
                mRacks.keySet().stream()
                        .filter(p -> !p.equals(pool) && mSpare.get(p) > 0)
                        .filter(p -> candidate(p).isPresent())
                        .max(bySpare);
        if (donor.isEmpty()) {
            return Optional.empty();
        }
        VmState vm = candidate(donor.get()).orElseThrow();
        mRacks.get(donor.get()).off().remove(vm);
        mSpare.merge(donor.get(), -1, Integer::sum);
        String reason =
                String.format(
                        "pool %s has lacked %d VMs and pool %s had spare ones for %d s",
                        pool, shortage, donor.get(), mHoldMs / 1000);
        return Optional.of(new VmMove(vm.id(), donor.get(), pool, reason));
    }

    private Optional<VmState> candidate(PoolId pool) {
        return mRacks.get(pool).off().stream().filter(v -> !mMoved.containsKey(v.id())).findFirst();
    }
}
