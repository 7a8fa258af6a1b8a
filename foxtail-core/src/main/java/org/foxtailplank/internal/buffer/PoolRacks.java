package org.foxtailplank.internal.buffer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.fleet.Observation;
import org.foxtailplank.id.RackId;
import org.foxtailplank.internal.wave.Budgets;
import org.foxtailplank.state.VmAction;
import org.foxtailplank.state.VmPhase;
import org.foxtailplank.state.VmState;

/** The VMs of one pool by rack: those that are on, and those that could be woken or stopped. */
final class PoolRacks {

    private static final Comparator<VmState> BY_ID = Comparator.comparing(VmState::id);

    private final Map<RackId, Integer> mOn = new HashMap<>();
    private final List<VmState> mOff = new ArrayList<>();
    private final List<VmState> mServing = new ArrayList<>();
    private int mOnCount;
    private int mServingCount;

    static PoolRacks of(Iterable<VmState> vms, Observation seen) {
        PoolRacks racks = new PoolRacks();
        for (VmState vm : vms) {
            racks.add(vm, seen);
        }
        racks.mOff.sort(BY_ID);
        racks.mServing.sort(BY_ID);
        return racks;
    }

    private void add(VmState vm, Observation seen) {
        boolean idle = vm.pending().isEmpty() && vm.joining().isEmpty();
        if (Budgets.serves(vm, seen)) {
            turnOn(vm);
            mServingCount++;
            if (idle) {
                mServing.add(vm);
            }
        } else if (vm.phase() == VmPhase.WAKING || isRebooting(vm, seen)) {
            turnOn(vm);
        } else if (vm.phase() == VmPhase.OFF && idle) {
            mOff.add(vm);
        }
    }

    /** A VM in a wave comes back by itself, so nothing is woken in its place. */
    private static boolean isRebooting(VmState vm, Observation seen) {
        return vm.pending().filter(VmAction.REBOOT::equals).isPresent()
                && !seen.notServing().contains(vm.id());
    }

    private void turnOn(VmState vm) {
        mOn.merge(vm.rack(), 1, Integer::sum);
        mOnCount++;
    }

    int on() {
        return mOnCount;
    }

    int serving() {
        return mServingCount;
    }

    int available() {
        return mOnCount + mOff.size();
    }

    int largest() {
        return mOn.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    /** Wakes the VM whose rack has the fewest on, so that the loss of one rack takes few. */
    Optional<VmState> wakeOne() {
        Optional<VmState> vm =
                mOff.stream().min(Comparator.comparingInt(v -> mOn.getOrDefault(v.rack(), 0)));
        vm.ifPresent(
                v -> {
                    mOff.remove(v);
                    turnOn(v);
                });
        return vm;
    }

    /** The VM to stop first: one of the rack that has the most on. */
    Optional<VmState> fullest() {
        return mServing.stream().max(Comparator.comparingInt(v -> mOn.get(v.rack())));
    }

    void sleep(VmState vm) {
        mServing.remove(vm);
        mOn.merge(vm.rack(), -1, Integer::sum);
        mOnCount--;
    }

    void keep(VmState vm) {
        mServing.remove(vm);
    }

    List<VmState> off() {
        return mOff;
    }
}
