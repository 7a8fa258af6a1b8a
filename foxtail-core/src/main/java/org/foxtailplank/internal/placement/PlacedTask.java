package org.foxtailplank.internal.placement;

import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.request.RequestClass;
import org.foxtailplank.state.TaskAction;

/** A task that takes room on a worker. */
final class PlacedTask {

    /** Share of its processors that a throttled task keeps. */
    private static final int THROTTLED_DIVISOR = 4;

    private final TaskId mId;
    private final JobEntry mJob;
    private final WorkerEntry mWorker;
    private final long mAttempt;
    private Resources mReserved;
    private TaskPhase mPhase;
    private TaskAction mAsked;
    private long mSinceMs;
    private long mHeardMs;

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
        mAsked = TaskAction.START;
        mSinceMs = nowMs;
        mHeardMs = nowMs;
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

    TaskAction asked() {
        return mAsked;
    }

    long sinceMs() {
        return mSinceMs;
    }

    long heardMs() {
        return mHeardMs;
    }

    void heard(long nowMs) {
        mHeardMs = Math.max(mHeardMs, nowMs);
    }

    void enter(TaskPhase phase, TaskAction asked, long nowMs) {
        mWorker.phaseChanged(mPhase, phase);
        mPhase = phase;
        mAsked = asked;
        mSinceMs = nowMs;
    }

    /** The action was asked for again. */
    void askedAgain(long nowMs) {
        mSinceMs = nowMs;
    }

    /** What it takes from now on, as learned. */
    Resources need() {
        Resources full = mJob.estimate().reserve(mWorker.capacity());
        return mPhase == TaskPhase.THROTTLED
                ? new Resources(throttled(full), full.memoryBytes(), full.accelerators())
                : full;
    }

    static long throttled(Resources full) {
        return full.milliProcessors() / THROTTLED_DIVISOR;
    }

    void reserve(Resources amount) {
        mReserved = amount;
    }

    boolean isBatch() {
        return mJob.spec().urgency() == RequestClass.BATCH;
    }

    /** Whether it can be asked to give way now. */
    boolean canGiveWay() {
        return isBatch() && mPhase.runs();
    }
}
