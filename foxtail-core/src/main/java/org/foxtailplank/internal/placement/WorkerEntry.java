package org.foxtailplank.internal.placement;

import java.util.LinkedHashSet;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.fleet.Worker;

/** A worker and what stands on it. */
final class WorkerEntry {

    private final WorkerHealth mHealth;
    private final Set<PlacedTask> mTasks = new LinkedHashSet<>();
    private final FreeIndex mIndex;
    private Worker mWorker;
    private boolean mGone;
    private int mStarting;
    private Resources mReserved = Resources.NONE;
    private Resources mMeasured = Resources.NONE;

    WorkerEntry(Worker worker, FreeIndex index, long firstQuarantineMs) {
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
        mGone = false;
        mIndex.update(this);
    }

    void gone() {
        mGone = true;
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

    /** What a task takes has changed. */
    void adjust(PlacedTask task, Resources amount) {
        if (mTasks.contains(task)) {
            mReserved = mReserved.minus(task.reserved()).plus(amount);
        }
        task.reserve(amount);
        mIndex.update(this);
    }

    void measured(Resources used) {
        mMeasured = used;
    }

    /** Whether what it runs uses more memory than it should. */
    boolean isShortOfMemory() {
        return mMeasured.memoryBytes() > 0.95 * mWorker.capacity().memoryBytes();
    }

    boolean isOpen() {
        return mWorker.open() && !mGone;
    }

    boolean accepts(boolean urgent, long nowMs) {
        return isOpen()
                && mStarting < mHealth.mostStarting()
                && mHealth.accepts(urgent, mTasks.isEmpty(), nowMs);
    }

    /** A task on it goes from one phase to the other. */
    void phaseChanged(TaskPhase from, TaskPhase to) {
        mStarting += (to.isStarting() ? 1 : 0) - (from.isStarting() ? 1 : 0);
    }
}
