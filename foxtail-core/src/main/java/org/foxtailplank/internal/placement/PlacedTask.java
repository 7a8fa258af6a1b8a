package org.foxtailplank.internal.placement;

import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;

/** A task that reserves resources on a worker. */
final class PlacedTask {

    /** Divisor of the processors of a throttled task. */
    private static final int THROTTLED_DIVISOR = 4;

    private final TaskId mId;
    private final JobEntry mJob;
    private final WorkerEntry mWorker;
    private final long mAttempt;
    private Resources mReserved;
    private TaskPhase mPhase;
    private TaskAction mLastAction;
    private long mPhaseSinceMs;
    private long mLastHeartbeatMs;

    PlacedTask(
            TaskId id,
            JobEntry job,
            WorkerEntry worker,
            long attempt,
            TaskPhase phase,
            long nowMs) {
        mId = id;
        mJob = job;
        mWorker = worker;
        mAttempt = attempt;
        mReserved = job.estimate().reserve(worker.capacity());
        mPhase = phase;
        mLastAction = TaskAction.START;
        mPhaseSinceMs = nowMs;
        mLastHeartbeatMs = nowMs;
    }

    TaskId id() {
        return mId;
    }

    JobEntry job() {
        return mJob;
    }

    WorkerEntry worker() {
        return mWorker;
    }

    long attempt() {
        return mAttempt;
    }

    Resources reserved() {
        return mReserved;
    }

    TaskPhase phase() {
        return mPhase;
    }

    TaskAction lastAction() {
        return mLastAction;
    }

    long phaseSinceMs() {
        return mPhaseSinceMs;
    }

    long lastHeartbeatMs() {
        return mLastHeartbeatMs;
    }

    void recordHeartbeat(long nowMs) {
        mLastHeartbeatMs = Math.max(mLastHeartbeatMs, nowMs);
    }

    void transitionTo(TaskPhase phase, TaskAction action, long nowMs) {
        mWorker.phaseChanged(mPhase, phase);
        mPhase = phase;
        mLastAction = action;
        mPhaseSinceMs = nowMs;
    }

    /** Restarts the answer timeout after the action was repeated. */
    void recordRetry(long nowMs) {
        mPhaseSinceMs = nowMs;
    }

    /** Returns the resources to reserve, based on the current estimate. */
    Resources requirement() {
        Resources full = mJob.estimate().reserve(mWorker.capacity());
        return mPhase == TaskPhase.THROTTLED
                ? new Resources(throttledProcessors(full), full.memoryBytes(), full.accelerators())
                : full;
    }

    static long throttledProcessors(Resources full) {
        return full.milliProcessors() / THROTTLED_DIVISOR;
    }

    void setReserved(Resources amount) {
        mReserved = amount;
    }

    boolean isBatch() {
        return mJob.spec().urgency() == RequestClass.BATCH;
    }

    /** Returns whether the task may be preempted now. */
    boolean isPreemptible() {
        return isBatch() && mPhase.runs();
    }
}
