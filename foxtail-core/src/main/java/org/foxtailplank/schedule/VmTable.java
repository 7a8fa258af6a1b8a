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
    private boolean mComplete = true;

    /**
     * Takes a list in; it tells nothing of VMs that were acted on after it was asked for.
     *
     * <p>A list in which an entry can't be read drops no VM: the entry may be that of any VM that
     * it doesn't name. Dropped, a VM would lose its planned reboot and count as done in its wave.
     */
    void listed(List<VmInfo> infos, long askedMs, Map<String, Long> actedMs) {
        Set<String> names = new HashSet<>();
        mComplete = infos.stream().allMatch(VmInfo::isReadable);
        for (VmInfo info : infos) {
            names.add(info.id());
            if (info.isReadable() && actedMs.getOrDefault(info.id(), Long.MIN_VALUE) < askedMs) {
                mVms.computeIfAbsent(info.id(), id -> new VmState(info)).info(info);
            }
        }
        if (mComplete) {
            mVms.keySet().retainAll(names);
        }
    }

    /** Whether all of the last list could be read, so that no other VMs exist. */
    boolean isComplete() {
        return mComplete;
    }

    /** Lives whose VMs a newer list names with another life, or with none. */
    Set<String> replacedLives(List<VmInfo> infos) {
        Set<String> replaced = new HashSet<>();
        for (VmInfo info : infos) {
            VmState known = mVms.get(info.id());
            boolean other = known != null && !known.info().worker().equals(info.worker());
            if (other && info.isReadable()) {
                replaced.add(known.info().worker());
            }
        }
        infos.forEach(i -> replaced.remove(i.worker()));
        return replaced;
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
