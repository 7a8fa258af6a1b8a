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

/** The VMs of a wave in some of its zones, grouped by progress. */
final class WaveScope {

    private final WaveState mWave;
    private final Observation mObservation;
    private final Map<RackId, List<VmState>> mWaiting = new TreeMap<>();
    private final List<VmId> mFailed = new ArrayList<>();
    private final Map<RackId, Integer> mFailedByRack = new HashMap<>();
    private final Set<RackId> mServingRacks = new HashSet<>();
    private final List<VmId> mSkipped = new ArrayList<>();
    private int mSize;
    private int mMaintained;
    private int mInProgress;
    private int mTouchedSinceOrder;
    private int mSilent;

    private WaveScope(WaveState wave, Observation observation) {
        mWave = wave;
        mObservation = observation;
    }

    static WaveScope of(
            FleetView view, WaveState wave, Set<ZoneId> zones, Observation observation) {
        WaveScope scope = new WaveScope(wave, observation);
        for (VmState vm : view.vms()) {
            boolean poolCovered = wave.pools().isEmpty() || wave.pools().contains(vm.pool());
            if (poolCovered && zones.contains(vm.zone())) {
                scope.classify(vm);
            }
        }
        scope.mWaiting.values().forEach(vms -> vms.sort(Comparator.comparing(VmState::id)));
        return scope;
    }

    private void classify(VmState vm) {
        mSize++;
        boolean silent = mObservation.notServing().contains(vm.id());
        countFailures(vm, silent);
        if (vm.lastMaintained() > mWave.started()) {
            mMaintained++;
            return;
        }
        switch (vm.phase()) {
            case SERVING -> classifyServing(vm, silent);
            case OFF, BROKEN -> mSkipped.add(vm.id());
            default -> mInProgress++;
        }
    }

    private void classifyServing(VmState vm, boolean silent) {
        if (vm.pending().isPresent()) {
            mInProgress++;
        } else if (silent) {
            mSilent++;
            mSkipped.add(vm.id());
        } else {
            mWaiting.computeIfAbsent(vm.rack(), r -> new ArrayList<>()).add(vm);
        }
    }

    /**
     * Counts failures since the last command to the wave, so that a resumed wave does not pause for
     * earlier ones.
     */
    private void countFailures(VmState vm, boolean silent) {
        boolean inWave = vm.wave().filter(mWave.id()::equals).isPresent();
        if (vm.phase() == VmPhase.SERVING && !silent) {
            mServingRacks.add(vm.rack());
        }
        boolean touched = inWave || vm.lastMaintained() > mWave.started();
        boolean broken = vm.phase() == VmPhase.BROKEN && touched && vm.version() > mWave.version();
        boolean maintained = vm.lastMaintained() > mWave.version();
        if (maintained || broken) {
            mTouchedSinceOrder++;
        }
        if (broken || maintained && silent && vm.pending().isEmpty()) {
            mFailed.add(vm.id());
            mFailedByRack.merge(vm.rack(), 1, Integer::sum);
        }
    }

    /**
     * Returns the failures that the wave may have caused.
     *
     * <p>Guards against pausing for a rack that fails independently of the wave. If no VM of a rack
     * serves and other VMs were maintained successfully, its failures count as one. A bad image
     * also breaks the next rack, which makes two.
     */
    int failures() {
        int failures = 0;
        for (Map.Entry<RackId, Integer> rack : mFailedByRack.entrySet()) {
            boolean rackLost = !mServingRacks.contains(rack.getKey()) && mMaintained > 0;
            failures += rackLost ? 1 : rack.getValue();
        }
        return failures;
    }

    /** Returns the VMs by rack that still have to be maintained and could be stopped. */
    Map<RackId, List<VmState>> waiting() {
        return mWaiting;
    }

    /** Returns the VMs that failed after a step since the last command to the wave. */
    List<VmId> failed() {
        return mFailed;
    }

    /**
     * Returns the number of VMs that were maintained or failed since the last command to the wave.
     */
    int touchedSinceOrder() {
        return mTouchedSinceOrder;
    }

    /** Returns the VMs that are off, broken or silent and were not maintained. */
    List<VmId> skipped() {
        return mSkipped;
    }

    /** Returns the number of VMs skipped because reports say that they do not serve. */
    int silent() {
        return mSilent;
    }

    int size() {
        return mSize;
    }

    int maintained() {
        return mMaintained;
    }

    /** Returns the number of VMs with an action in progress, of this wave or another writer. */
    int inProgress() {
        return mInProgress;
    }
}
