package org.foxtailplank.schedule;

import org.foxtailplank.fleet.Resources;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;

/** A VM of a {@link FleetSimulation}. */
final class SimulatedVm {
    final String mId;
    final String mRack;
    final String mZone;
    String mPool;
    int mIncarnation;
    long mUpMs;
    boolean mJoined;
    boolean mRebooting;

    SimulatedVm(String id, String rack, String zone, String pool) {
        mId = id;
        mRack = rack;
        mZone = zone;
        mPool = pool;
    }

    String worker() {
        return mId + "-" + mIncarnation;
    }

    /**
     * Its entry in a list of VMs.
     *
     * @param hasWorker whether VMs of its pool have a worker
     */
    VmInfo info(boolean hasWorker, Resources capacity, long nowMs) {
        boolean up = nowMs >= mUpMs;
        VmPhase down = mRebooting ? VmPhase.REBOOTING : VmPhase.MOVING;
        return new VmInfo(
                mId, mPool, up ? VmPhase.UP : down, up && hasWorker ? worker() : "", capacity);
    }
}
