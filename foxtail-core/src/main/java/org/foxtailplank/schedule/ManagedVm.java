package org.foxtailplank.schedule;

import java.util.Optional;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;

/** A VM and the action that the owner plans for it. */
public final class ManagedVm {
    private VmInfo mInfo;
    private Optional<PlannedVmAction> mPlanned = Optional.empty();
    private boolean mCallPending;
    private long mPlannedMs;
    private String mPreviousWorker = "";
    private long mLastMoveMs = Long.MIN_VALUE / 2;

    ManagedVm(VmInfo info) {
        mInfo = info;
    }

    void updateInfo(VmInfo info) {
        mInfo = info;
    }

    public String id() {
        return mInfo.id();
    }

    public VmInfo info() {
        return mInfo;
    }

    /** Whether the VM is up and no action is planned for it. */
    boolean isFree() {
        return mPlanned.isEmpty() && mInfo.phase() == VmPhase.UP;
    }

    /** Whether the VM is being rebooted or a reboot is planned. */
    boolean isRebooting() {
        boolean chosen = mPlanned.isPresent() && mPlanned.get() instanceof PlannedVmAction.Reboot;
        return chosen || mInfo.phase() == VmPhase.REBOOTING;
    }

    Optional<PlannedVmAction> planned() {
        return mPlanned;
    }

    void plan(PlannedVmAction action, long nowMs) {
        mPlanned = Optional.of(action);
        mPlannedMs = nowMs;
        mCallPending = false;
    }

    long plannedMs() {
        return mPlannedMs;
    }

    /** Whether the platform was called and has not answered. */
    boolean isCallPending() {
        return mCallPending;
    }

    void setCallPending(boolean calling) {
        mCallPending = calling;
    }

    void cancelPlan() {
        mPlanned = Optional.empty();
        mCallPending = false;
    }

    /**
     * Applies an action that the platform accepted; the VM is down until a list shows its next
     * incarnation.
     */
    void applyAction(VmInfo expected) {
        mPreviousWorker = mInfo.worker();
        mInfo = expected;
        cancelPlan();
    }

    /** The incarnation that the last action ended. */
    String previousWorker() {
        return mPreviousWorker;
    }

    /** Time at which the last move began. */
    long lastMoveMs() {
        return mLastMoveMs;
    }

    void recordMove(long nowMs) {
        mLastMoveMs = nowMs;
    }
}
