package org.foxtailplank.schedule;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmOutcome;
import org.foxtailplank.port.VmClient.VmPhase;

/** All VMs, as listed by the platform and changed by the owner since. */
public final class ManagedVms {
    private final Map<String, ManagedVm> mVms = new LinkedHashMap<>();
    private boolean mLastComplete;
    private boolean mComplete;

    /** Known VMs that the last list lacked, if it was complete. */
    private Set<String> mMissing = Set.of();

    /**
     * Applies a list of VMs, which may be outdated for VMs acted on after it was requested.
     *
     * <p>A VM is removed once two complete lists in a row lack it: a list is read in pages, between
     * which a VM may be missed, and an unreadable entry may be that of any VM that is missing. A
     * removed VM would lose its planned reboot and count as done in its wave.
     */
    void update(List<VmInfo> infos, long askedMs, Map<String, Long> lastActionMs) {
        Set<String> names = new HashSet<>();
        boolean complete = infos.stream().allMatch(VmInfo::isReadable);
        for (VmInfo info : infos) {
            names.add(info.id());
            if (info.isReadable()
                    && lastActionMs.getOrDefault(info.id(), Long.MIN_VALUE) < askedMs) {
                mVms.computeIfAbsent(info.id(), id -> new ManagedVm(info)).updateInfo(info);
            }
        }
        Set<String> missing = new HashSet<>();
        if (complete) {
            mVms.keySet().removeIf(id -> mMissing.contains(id) && !names.contains(id));
            missing.addAll(mVms.keySet());
            missing.removeAll(names);
        }
        mMissing = missing;
        mComplete = complete && mLastComplete;
        mLastComplete = complete;
    }

    /** Whether every entry of the last two lists was readable, so that no other VMs exist. */
    boolean isComplete() {
        return mComplete;
    }

    Collection<ManagedVm> all() {
        return mVms.values();
    }

    Optional<ManagedVm> vm(String id) {
        return Optional.ofNullable(mVms.get(id));
    }

    Optional<ManagedVm> ofWorker(String worker) {
        for (ManagedVm v : mVms.values()) {
            if (v.info().worker().equals(worker)) {
                return Optional.of(v);
            }
        }
        return Optional.empty();
    }

    /** Applies the platform's answer to an action. */
    static void applyOutcome(ManagedVm vm, PlannedVmAction action, VmOutcome outcome, long nowMs) {
        vm.endCall();
        VmInfo info = vm.info();
        if (outcome == VmOutcome.DONE && action instanceof PlannedVmAction.Move move) {
            vm.applyAction(new VmInfo(info.id(), move.pool(), VmPhase.MOVING, "", info.capacity()));
            vm.recordMove(nowMs);
        } else if (outcome == VmOutcome.DONE) {
            vm.applyAction(
                    new VmInfo(info.id(), info.pool(), VmPhase.REBOOTING, "", info.capacity()));
        } else if (outcome != VmOutcome.UNANSWERED && outcome != VmOutcome.NOT_DONE) {
            vm.cancelPlan();
        }
    }
}
