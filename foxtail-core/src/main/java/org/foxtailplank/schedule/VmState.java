package org.foxtailplank.schedule;

import java.util.Optional;
import org.foxtailplank.port.VmActions.VmInfo;
import org.foxtailplank.port.VmActions.VmPhase;

/** A VM as the owner knows it, with what the owner is about to do with it. */
public final class VmState {
    private VmInfo mInfo;
    private Optional<VmAction> mPlanned = Optional.empty();
    private boolean mCalling;
    private long mPlannedMs;
    private String mWorkerBefore = "";
    private long mMovedMs = Long.MIN_VALUE / 2;

    VmState(VmInfo info) {
        mInfo = info;
    }

    void info(VmInfo info) {
        mInfo = info;
    }

    public String id() {
        return mInfo.id();
    }

    public VmInfo info() {
        return mInfo;
    }

    /** Whether it is up, in no action of the owner's, and no answer of one is awaited. */
    boolean isFree() {
        return mPlanned.isEmpty() && mInfo.phase() == VmPhase.UP;
    }

    /** Whether it is down for a reboot, or is to be. */
    boolean isRebooting() {
        boolean chosen = mPlanned.isPresent() && mPlanned.get() instanceof VmAction.Reboot;
        return chosen || mInfo.phase() == VmPhase.REBOOTING;
    }

    Optional<VmAction> planned() {
        return mPlanned;
    }

    void plan(VmAction action, long nowMs) {
        mPlanned = Optional.of(action);
        mPlannedMs = nowMs;
        mCalling = false;
    }

    long plannedMs() {
        return mPlannedMs;
    }

    /** Whether the platform has been called and has not answered. */
    boolean isCalling() {
        return mCalling;
    }

    void calling(boolean calling) {
        mCalling = calling;
    }

    void unplan() {
        mPlanned = Optional.empty();
        mCalling = false;
    }

    /** The platform has taken the action; the VM is down until it lists another life. */
    void taken(VmInfo expected) {
        mWorkerBefore = mInfo.worker();
        mInfo = expected;
        unplan();
    }

    /** The life that ended by the last action. */
    String workerBefore() {
        return mWorkerBefore;
    }

    /** When it last began to move to its pool. */
    long movedMs() {
        return mMovedMs;
    }

    void moved(long nowMs) {
        mMovedMs = nowMs;
    }
}
