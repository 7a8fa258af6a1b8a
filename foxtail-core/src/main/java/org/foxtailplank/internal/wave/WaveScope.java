package org.foxtailplank.internal.wave;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.id.ZoneId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;
import org.foxtailplank.state.WaveState;

/** The VMs of a wave in some of its zones, sorted by what became of them. */
final class WaveScope {

    private final WaveState mWave;
    private final Observation mSeen;
    private final Map<RackId, List<VmState>> mWaiting = new TreeMap<>();
    private final List<VmId> mFailed = new ArrayList<>();
    private final Map<RackId, Integer> mFailedByRack = new HashMap<>();
    private final Set<RackId> mUp = new HashSet<>();
    private final List<VmId> mLeftOut = new ArrayList<>();
    private int mSize;
    private int mMaintained;
    private int mUnderWay;
    private int mTouchedSinceOrder;
    private int mSilent;

    private WaveScope(WaveState wave, Observation seen) {
        mWave = wave;
        mSeen = seen;
    }

    static WaveScope of(FleetView view, WaveState wave, Set<ZoneId> zones, Observation seen) {
        WaveScope scope = new WaveScope(wave, seen);
        for (VmState vm : view.vms()) {
            boolean poolCovered = wave.pools().isEmpty() || wave.pools().contains(vm.pool());
            if (poolCovered && zones.contains(vm.zone())) {
                scope.sort(vm);
            }
        }
        scope.mWaiting.values().forEach(vms -> vms.sort(Comparator.comparing(VmState::id)));
        return scope;
    }

    private void sort(VmState vm) {
        mSize++;
        boolean silent = mSeen.notServing().contains(vm.id());
        countFailures(vm, silent);
        if (vm.lastMaintained() > mWave.started()) {
            mMaintained++;
            return;
        }
        switch (vm.phase()) {
            case SERVING -> sortServing(vm, silent);
            case OFF, BROKEN -> mLeftOut.add(vm.id());
            default -> mUnderWay++;
        }
    }

    private void sortServing(VmState vm, boolean silent) {
        if (vm.pending().isPresent()) {
            mUnderWay++;
        } else if (silent) {
            mSilent++;
            mLeftOut.add(vm.id());
        } else {
            mWaiting.computeIfAbsent(vm.rack(), r -> new ArrayList<>()).add(vm);
        }
    }

    /**
     * Failures since the wave was last ordered to run; a resumed wave does not stop over old ones.
     */
    private void countFailures(VmState vm, boolean silent) {
        boolean inWave = vm.wave().filter(mWave.id()::equals).isPresent();
        if (vm.phase() == VmPhase.SERVING && !silent) {
            mUp.add(vm.rack());
        }
        boolean touched = inWave || vm.lastMaintained() > mWave.started();
        boolean broke = vm.phase() == VmPhase.BROKEN && touched && vm.version() > mWave.version();
        boolean maintained = vm.lastMaintained() > mWave.version();
        if (maintained || broke) {
            mTouchedSinceOrder++;
        }
        if (broke || maintained && silent && vm.pending().isEmpty()) {
            mFailed.add(vm.id());
            mFailedByRack.merge(vm.rack(), 1, Integer::sum);
        }
    }

    /**
     * Failures that may be the wave's doing.
     *
     * <p>Guards against a rack that is lost beside the wave: it shows as VMs that fail together,
     * with nothing left up in their rack, after others came back well. That counts as one failure;
     * a bad image goes on to break the next rack, which makes two.
     */
    int failures() {
        int failures = 0;
        for (Map.Entry<RackId, Integer> rack : mFailedByRack.entrySet()) {
            boolean rackLost = !mUp.contains(rack.getKey()) && mMaintained > 0;
            failures += rackLost ? 1 : rack.getValue();
        }
        return failures;
    }

    /** VMs that still have to be maintained and could be stopped, by rack. */
    Map<RackId, List<VmState>> waiting() {
        return mWaiting;
    }

    /** VMs that failed after a step, since the wave was last ordered to run. */
    List<VmId> failed() {
        return mFailed;
    }

    /** VMs that were maintained or failed since the wave was last ordered to run. */
    int touchedSinceOrder() {
        return mTouchedSinceOrder;
    }

    /** VMs that are off, broken or silent and were not maintained. */
    List<VmId> leftOut() {
        return mLeftOut;
    }

    /** VMs left out because reports say that they do not serve. */
    int silent() {
        return mSilent;
    }

    int size() {
        return mSize;
    }

    int maintained() {
        return mMaintained;
    }

    /** VMs with an action under way, of this wave or of anybody else. */
    int underWay() {
        return mUnderWay;
    }
}
