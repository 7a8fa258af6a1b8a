package org.foxtailplank.schedule;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmOutcome;
import org.foxtailplank.port.VmActions.VmPhase;

/** All VMs as the platform lists them and as the owner has changed them since. */
public final class VmTable {
    private final Map<String, VmState> mVms = new LinkedHashMap<>();

    /** Takes a list in; it tells nothing of VMs that were acted on after it was asked for. */
    void listed(List<VmInfo> infos, long askedMs, Map<String, Long> actedMs) {
        Set<String> names = new HashSet<>();
        for (VmInfo info : infos) {
            names.add(info.id());
            if (actedMs.getOrDefault(info.id(), Long.MIN_VALUE) < askedMs) {
                mVms.computeIfAbsent(info.id(), id -> new VmState(info)).info(info);
            }
        }
        mVms.keySet().retainAll(names);
    }

    Collection<VmState> all() {
        return mVms.values();
    }

    Optional<VmState> vm(String id) {
        return Optional.ofNullable(mVms.get(id));
    }

    Optional<VmState> ofWorker(String worker) {
        for (VmState v : mVms.values()) {
            if (v.info().worker().equals(worker)) {
                return Optional.of(v);
            }
        }
        return Optional.empty();
    }

    /** Applies what the platform said to an action. */
    static void answered(VmState vm, VmAction action, VmOutcome outcome, long nowMs) {
        vm.calling(false);
        VmInfo info = vm.info();
        if (outcome == VmOutcome.DONE && action instanceof VmAction.Move move) {
            vm.taken(new VmInfo(info.id(), move.pool(), VmPhase.MOVING, "", info.capacity()));
            vm.moved(nowMs);
        } else if (outcome == VmOutcome.DONE) {
            vm.taken(new VmInfo(info.id(), info.pool(), VmPhase.REBOOTING, "", info.capacity()));
        } else if (outcome != VmOutcome.UNANSWERED && outcome != VmOutcome.NOT_DONE) {
            vm.unplan();
        }
    }
}
