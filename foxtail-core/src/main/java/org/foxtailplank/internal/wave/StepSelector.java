package org.foxtailplank.internal.wave;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.LimitKind;
import org.foxtailplank.fleet.WaveLimit;
import org.foxtailplank.fleet.WaveStep;
import org.foxtailplank.id.RackId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.VmState;

/** Selects the VMs of one step within the budgets: whole racks first, then parts of racks. */
final class StepSelector {

    private final AvailabilityBudgets mBudgets;
    private final Map<RackId, List<VmState>> mWaiting;
    private final int mMaxWidth;
    private final List<VmState> mSelected = new ArrayList<>();
    private final Set<RackId> mRacks = new LinkedHashSet<>();
    private final Set<AvailabilityBudget> mLimiting = new LinkedHashSet<>();
    private boolean mRampLimited;

    private StepSelector(
            AvailabilityBudgets budgets, Map<RackId, List<VmState>> waiting, int widest) {
        mBudgets = budgets;
        mWaiting = waiting;
        mMaxWidth = widest;
    }

    /** Selects the widest step; removes its VMs from the budgets and from the waiting VMs. */
    static StepSelector select(
            AvailabilityBudgets budgets, Map<RackId, List<VmState>> waiting, int widest) {
        StepSelector chooser = new StepSelector(budgets, waiting, widest);
        List<RackId> racks = chooser.racksBySize();
        racks.forEach(chooser::addWholeRack);
        racks.forEach(chooser::addPartialRack);
        chooser.removeSelected();
        return chooser;
    }

    private List<RackId> racksBySize() {
        Comparator<Map.Entry<RackId, List<VmState>>> bySize =
                Comparator.comparingInt(e -> -e.getValue().size());
        return mWaiting.entrySet().stream()
                .sorted(bySize.thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey)
                .toList();
    }

    private void addWholeRack(RackId rack) {
        List<VmState> vms = mWaiting.get(rack);
        if (mSelected.size() + vms.size() > mMaxWidth) {
            return;
        }
        int taken = 0;
        while (taken < vms.size() && tryStop(vms.get(taken))) {
            taken++;
        }
        if (taken == vms.size()) {
            mSelected.addAll(vms);
            mRacks.add(rack);
        } else {
            vms.subList(0, taken).forEach(vm -> budget(vm).restart(rack));
        }
    }

    private void addPartialRack(RackId rack) {
        if (mRacks.contains(rack)) {
            return;
        }
        for (VmState vm : mWaiting.get(rack)) {
            if (mSelected.size() >= mMaxWidth) {
                mRampLimited = true;
                return;
            }
            if (tryStop(vm)) {
                mSelected.add(vm);
                mRacks.add(rack);
            } else {
                mLimiting.add(budget(vm));
            }
        }
    }

    private boolean tryStop(VmState vm) {
        AvailabilityBudget budget = budget(vm);
        if (!budget.canStop(vm.rack())) {
            return false;
        }
        budget.stop(vm.rack());
        return true;
    }

    private AvailabilityBudget budget(VmState vm) {
        return mBudgets.of(vm.pool());
    }

    private void removeSelected() {
        Set<VmState> chosen = Set.copyOf(mSelected);
        for (RackId rack : mRacks) {
            List<VmState> left = mWaiting.get(rack);
            left.removeIf(chosen::contains);
            if (left.isEmpty()) {
                mWaiting.remove(rack);
            }
        }
    }

    List<VmState> selected() {
        return mSelected;
    }

    WaveStep step() {
        List<VmId> vms = mSelected.stream().map(VmState::id).toList();
        return new WaveStep(vms, List.copyOf(mRacks), limits());
    }

    /** Returns the limits of the step's width, one for each budget that was exhausted. */
    List<WaveLimit> limits() {
        List<WaveLimit> limits = new ArrayList<>();
        for (AvailabilityBudget budget : mLimiting) {
            limits.add(limit(kindOf(budget), budget));
        }
        if (mRampLimited) {
            int width = mSelected.size();
            limits.add(new WaveLimit(LimitKind.RAMP, "wave", Optional.empty(), 0, 0, 0, width));
        }
        return limits;
    }

    static List<WaveLimit> limitsOf(Collection<AvailabilityBudget> budgets) {
        return budgets.stream().map(b -> limit(kindOf(b), b)).toList();
    }

    private static WaveLimit limit(LimitKind kind, AvailabilityBudget budget) {
        int needed = kind == LimitKind.DEMAND ? budget.demand() : budget.minAvailable();
        return new WaveLimit(
                kind,
                budget.subject(),
                budget.largestRack(),
                budget.serving(),
                needed,
                kind == LimitKind.DEMAND ? 0 : budget.largestRackSize(),
                budget.stopped());
    }

    private static LimitKind kindOf(AvailabilityBudget budget) {
        boolean allServing = budget.serving() + budget.stopped() >= budget.powered();
        boolean byDemand = budget.serving() - budget.largestRackSize() > budget.minAvailable();
        if (byDemand) {
            return LimitKind.DEMAND;
        }
        if (!allServing) {
            return LimitKind.FAILURES;
        }
        return budget.stopped() == 0 ? LimitKind.NEVER : LimitKind.BUDGET;
    }
}
