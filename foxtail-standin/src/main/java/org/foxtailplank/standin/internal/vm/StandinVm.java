package org.foxtailplank.standin.internal.vm;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.settings.VmSettings;
import org.foxtailplank.standin.BackendStandin;

/** One VM; guarded by the fleet that it belongs to. */
final class StandinVm {

    final VmId mId;
    final VmSettings mSettings;
    private final Set<String> mActionIds = new HashSet<>();
    Power mPower = Power.OFF;
    boolean mLeaving;
    Optional<PoolId> mPool;
    long mPoolGeneration = 1;
    long mGeneration;
    Optional<VmDocuments.Action> mLastAction = Optional.empty();
    Optional<Running> mRunning = Optional.empty();

    /** Number of actions and failures so far; a step of an earlier one does nothing any more. */
    long mTurn;

    StandinVm(VmId id, VmSettings settings, Optional<PoolId> pool) {
        mId = id;
        mSettings = settings;
        mPool = pool;
    }

    /** A backend server that runs on the VM. */
    record Running(ServiceId service, BackendStandin backend) {}

    boolean knows(String actionId) {
        return mActionIds.contains(actionId);
    }

    /** Whether an action may begin: it is newer, or it follows a drain of its own generation. */
    boolean admits(VmDocuments.Act act) {
        boolean drained =
                mLastAction.filter(a -> a.action().equals("drain")).isPresent()
                        && !act.action().equals("drain");
        return act.generation() > mGeneration || act.generation() == mGeneration && drained;
    }

    long begin(VmDocuments.Act act) {
        mActionIds.add(act.id());
        mGeneration = act.generation();
        mLastAction = Optional.of(new VmDocuments.Action(act.id(), act.action(), "running"));
        return ++mTurn;
    }

    void end(String state) {
        mLastAction = mLastAction.map(a -> new VmDocuments.Action(a.id(), a.action(), state));
    }

    VmDocuments.Vm document() {
        return new VmDocuments.Vm(
                mId.value(),
                mSettings.zone().value(),
                mSettings.rack().value(),
                mPower.name().toLowerCase(Locale.ROOT),
                mPool.map(PoolId::value),
                mPoolGeneration,
                mGeneration,
                mLeaving ? "leaving" : "live",
                mLastAction,
                mRunning.map(StandinVm::instance));
    }

    private static VmDocuments.Instance instance(Running running) {
        InetSocketAddress address = running.backend().address();
        return new VmDocuments.Instance(
                running.service().value(), address.getHostString() + ":" + address.getPort());
    }
}
