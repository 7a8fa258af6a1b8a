package org.foxtailplank.internal.buffer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.RackId;
import org.foxtailplank.internal.wave.AvailabilityBudgets;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** The VMs of one pool by rack: powered-on VMs, and candidates to wake or stop. */
final class PoolRacks {

    private static final Comparator<VmState> BY_ID = Comparator.comparing(VmState::id);

    private final Map<RackId, Integer> mOnByRack = new HashMap<>();
    private final List<VmState> mOff = new ArrayList<>();
    private final List<VmState> mServing = new ArrayList<>();
    private int mOnCount;
    private int mServingCount;

    static PoolRacks of(Iterable<VmState> vms, Observation observation) {
        PoolRacks racks = new PoolRacks();
        for (VmState vm : vms) {
            racks.add(vm, observation);
        }
        racks.mOff.sort(BY_ID);
        racks.mServing.sort(BY_ID);
        return racks;
    }

    private void add(VmState vm, Observation observation) {
        boolean idle = vm.pending().isEmpty() && vm.joining().isEmpty();
        if (AvailabilityBudgets.serves(vm, observation)) {
            countOn(vm);
            mServingCount++;
            if (idle) {
                mServing.add(vm);
            }
        } else if (vm.phase() == VmPhase.WAKING || isRebooting(vm, observation)) {
            countOn(vm);
        } else if (vm.phase() == VmPhase.OFF && idle) {
            mOff.add(vm);
        }
    }

    /**
     * Returns whether a VM is rebooting; it will serve again, so no other VM is woken to replace
     * it.
     */
    private static boolean isRebooting(VmState vm, Observation observation) {
        return vm.pending().filter(VmAction.REBOOT::equals).isPresent()
                && !observation.notServing().contains(vm.id());
    }

    private void countOn(VmState vm) {
        mOnByRack.merge(vm.rack(), 1, Integer::sum);
        mOnCount++;
    }

    int onCount() {
        return mOnCount;
    }

    int servingCount() {
        return mServingCount;
    }

    int availableCount() {
        return mOnCount + mOff.size();
    }

    int largestRackSize() {
        return mOnByRack.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /**
     * Selects a VM to wake from the rack with the fewest powered-on VMs, to limit the effect of a
     * rack loss.
     */
    Optional<VmState> takeForWake() {
        Optional<VmState> vm =
                mOff.stream()
                        .min(Comparator.comparingInt(v -> mOnByRack.getOrDefault(v.rack(), 0)));
        vm.ifPresent(
                v -> {
                    mOff.remove(v);
                    countOn(v);
                });
        return vm;
    }

    /** Returns the next VM to stop: one in the rack with the most powered-on VMs. */
    Optional<VmState> nextToStop() {
        return mServing.stream().max(Comparator.comparingInt(v -> mOnByRack.get(v.rack())));
    }

    void markStopped(VmState vm) {
        mServing.remove(vm);
        mOnByRack.merge(vm.rack(), -1, Integer::sum);
        mOnCount--;
    }

    void exclude(VmState vm) {
        mServing.remove(vm);
    }

    List<VmState> off() {
        return mOff;
    }
}
