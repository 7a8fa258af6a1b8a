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

/** Chooses the VMs of one step: whole racks first, then parts of racks, as the budgets allow. */
final class StepChooser {

    private final Budgets mBudgets;
    private final Map<RackId, List<VmState>> mWaiting;
    private final int mWidest;
    private final List<VmState> mChosen = new ArrayList<>();
    private final Set<RackId> mRacks = new LinkedHashSet<>();
    private final Set<Budget> mLimited = new LinkedHashSet<>();
    private boolean mRamped;

    private StepChooser(Budgets budgets, Map<RackId, List<VmState>> waiting, int widest) {
        mBudgets = budgets;
        mWaiting = waiting;
        mWidest = widest;
    }

    /** The widest step; its VMs are taken out of the budgets and of the waiting ones. */
    static StepChooser choose(Budgets budgets, Map<RackId, List<VmState>> waiting, int widest) {
        StepChooser chooser = new StepChooser(budgets, waiting, widest);
        List<RackId> racks = chooser.racksBySize();
        racks.forEach(chooser::takeWhole);
        racks.forEach(chooser::takePart);
        chooser.forgetChosen();
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

    private void takeWhole(RackId rack) {
        List<VmState> vms = mWaiting.get(rack);
        if (mChosen.size() + vms.size() > mWidest) {
            return;
        }
        int taken = 0;
        while (taken < vms.size() && tryStop(vms.get(taken))) {
            taken++;
        }
        if (taken == vms.size()) {
            mChosen.addAll(vms);
            mRacks.add(rack);
        } else {
            vms.subList(0, taken).forEach(vm -> budget(vm).restart(rack));
        }
    }

    private void takePart(RackId rack) {
        if (mRacks.contains(rack)) {
            return;
        }
        for (VmState vm : mWaiting.get(rack)) {
            if (mChosen.size() >= mWidest) {
                mRamped = true;
                return;
            }
            if (tryStop(vm)) {
                mChosen.add(vm);
                mRacks.add(rack);
            } else {
                mLimited.add(budget(vm));
            }
        }
    }

    private boolean tryStop(VmState vm) {
        Budget budget = budget(vm);
        if (!budget.canStop(vm.rack())) {
            return false;
        }
        budget.stop(vm.rack());
        return true;
    }

    private Budget budget(VmState vm) {
        return mBudgets.of(vm.pool());
    }

    private void forgetChosen() {
        Set<VmState> chosen = Set.copyOf(mChosen);
        for (RackId rack : mRacks) {
            List<VmState> left = mWaiting.get(rack);
            left.removeIf(chosen::contains);
            if (left.isEmpty()) {
                mWaiting.remove(rack);
            }
        }
    }

    List<VmState> chosen() {
        return mChosen;
    }

    WaveStep step() {
        List<VmId> vms = mChosen.stream().map(VmState::id).toList();
        return new WaveStep(vms, List.copyOf(mRacks), limits());
    }

    /** What kept the step from being wider, one line for each service that was held back. */
    List<WaveLimit> limits() {
        List<WaveLimit> limits = new ArrayList<>();
        for (Budget budget : mLimited) {
            limits.add(limit(kindOf(budget), budget));
        }
        if (mRamped) {
            int width = mChosen.size();
            limits.add(new WaveLimit(LimitKind.RAMP, "wave", Optional.empty(), 0, 0, 0, width));
        }
        return limits;
    }

    static List<WaveLimit> limitsOf(Collection<Budget> budgets) {
        return budgets.stream().map(b -> limit(kindOf(b), b)).toList();
    }

    private static WaveLimit limit(LimitKind kind, Budget budget) {
        int needed = kind == LimitKind.DEMAND ? budget.demand() : budget.minAvailable();
        return new WaveLimit(
                kind,
                budget.subject(),
                budget.largestRack(),
                budget.serving(),
                needed,
                kind == LimitKind.DEMAND ? 0 : budget.largest(),
                budget.stopped());
    }

    private static LimitKind kindOf(Budget budget) {
        boolean whole = budget.serving() + budget.stopped() >= budget.powered();
        boolean byDemand = budget.serving() - budget.largest() > budget.minAvailable();
        if (byDemand) {
            return LimitKind.DEMAND;
        }
        if (!whole) {
            return LimitKind.FAILURES;
        }
        return budget.stopped() == 0 ? LimitKind.NEVER : LimitKind.BUDGET;
    }
}
