package org.foxtailplank.internal.buffer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WavePhase;
import org.foxtailplank.state.WaveState;

/** The pools with VMs that a running wave still has to maintain. */
final class WavePools {

    private final Set<PoolId> mPools = new HashSet<>();

    private WavePools() {}

    static WavePools of(FleetView view) {
        WavePools pools = new WavePools();
        List<WaveState> running =
                view.waves().stream().filter(w -> w.phase() == WavePhase.RUNNING).toList();
        if (running.isEmpty()) {
            return pools;
        }
        view.vms().stream()
                .filter(v -> v.phase() != VmPhase.OFF && v.phase() != VmPhase.BROKEN)
                .filter(v -> running.stream().anyMatch(w -> waitsFor(w, v)))
                .forEach(v -> pools.mPools.add(v.pool()));
        return pools;
    }

    private static boolean waitsFor(WaveState wave, VmState vm) {
        return wave.zones().contains(vm.zone())
                && !wave.finished().contains(vm.zone())
                && (wave.pools().isEmpty() || wave.pools().contains(vm.pool()))
                && vm.lastMaintained() <= wave.started();
    }

    boolean contains(PoolId pool) {
        return mPools.contains(pool);
    }
}
