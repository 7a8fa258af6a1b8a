package org.foxtailplank.internal.placement;

import java.util.LinkedHashSet;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.Worker;

/** A worker with its placed tasks. */
final class WorkerEntry {

    private final WorkerHealth mHealth;
    private final Set<PlacedTask> mTasks = new LinkedHashSet<>();
    private final FreeProcessorIndex mIndex;
    private Worker mWorker;
    private boolean mRemoved;
    private int mStarting;
    private Resources mReserved = Resources.NONE;
    private Resources mMeasured = Resources.NONE;

    WorkerEntry(Worker worker, FreeProcessorIndex index, long firstQuarantineMs) {
        mWorker = worker;
        mIndex = index;
        mHealth = new WorkerHealth(firstQuarantineMs);
        mIndex.update(this);
    }

    WorkerHealth health() {
        return mHealth;
    }

    Worker worker() {
        return mWorker;
    }

    void replace(Worker worker) {
        mWorker = worker;
        mRemoved = false;
        mIndex.update(this);
    }

    void markRemoved() {
        mRemoved = true;
        mIndex.remove(this);
    }

    Resources capacity() {
        return mWorker.capacity();
    }

    Resources free() {
        return mWorker.capacity().minus(mReserved);
    }

    Set<PlacedTask> tasks() {
        return mTasks;
    }

    void add(PlacedTask task) {
        mTasks.add(task);
        phaseChanged(TaskPhase.RUNNING, task.phase());
        mReserved = mReserved.plus(task.reserved());
        mIndex.update(this);
    }

    void remove(PlacedTask task) {
        if (mTasks.remove(task)) {
            phaseChanged(task.phase(), TaskPhase.RUNNING);
            mReserved = mReserved.minus(task.reserved());
            mIndex.update(this);
        }
    }

    /** Changes the resources reserved by a task. */
    void adjust(PlacedTask task, Resources amount) {
        if (mTasks.contains(task)) {
            mReserved = mReserved.minus(task.reserved()).plus(amount);
        }
        task.setReserved(amount);
        mIndex.update(this);
    }

    void setMeasured(Resources used) {
        mMeasured = used;
    }

    /** Returns whether the measured memory use is close to the capacity. */
    boolean isShortOfMemory() {
        return mMeasured.memoryBytes() > 0.95 * mWorker.capacity().memoryBytes();
    }

    boolean isOpen() {
        return mWorker.open() && !mRemoved;
    }

    boolean accepts(boolean urgent, long nowMs) {
        return isOpen()
                && mStarting < mHealth.maxStarting()
                && mHealth.accepts(urgent, mTasks.isEmpty(), nowMs);
    }

    /** Updates the number of starting tasks after a phase change. */
    void phaseChanged(TaskPhase from, TaskPhase to) {
        mStarting += (to.isStarting() ? 1 : 0) - (from.isStarting() ? 1 : 0);
    }
}
