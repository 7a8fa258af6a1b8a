package org.foxtailplank.schedule;

import java.util.Optional;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.VmClient.VmInfo;
import org.foxtailplank.port.VmClient.VmPhase;

/** A VM and the action that the owner plans for it. */
public final class ManagedVm {
    private VmInfo mInfo;
    private Optional<PlannedVmAction> mPlanned = Optional.empty();
    private boolean mCallPending;
    private Optional<WorkerIncarnation> mCalledWorker = Optional.empty();
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
        mCalledWorker = Optional.empty();
    }

    long plannedMs() {
        return mPlannedMs;
    }

    /** Whether the platform was called and has not answered. */
    public boolean isCallPending() {
        return mCallPending;
    }

    /**
     * Records that the platform is called, perhaps again; returns the worker on the VM when it was
     * first called. Once the action is executed, there is another one.
     *
     * @param worker the worker on the VM now
     */
    WorkerIncarnation beginCall(WorkerIncarnation worker) {
        mCallPending = true;
        mCalledWorker = mCalledWorker.or(() -> Optional.of(worker));
        return mCalledWorker.get();
    }

    void endCall() {
        mCallPending = false;
    }

    /**
     * Returns the call for the planned action if an entry of a list shows that the platform has
     * executed it.
     */
    Optional<VmPlanner.Call> executedCall(VmInfo listed) {
        if (mPlanned.isEmpty() || mCalledWorker.isEmpty() || !mPlanned.get().isShownBy(listed)) {
            return Optional.empty();
        }
        return Optional.of(new VmPlanner.Call(this, mPlanned.get(), mCalledWorker.get()));
    }

    void cancelPlan() {
        mPlanned = Optional.empty();
        mCallPending = false;
        mCalledWorker = Optional.empty();
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
