package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.RunStatus;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;
import org.foxtailplank.job.WorkerIncarnation;

/** A task of an active job, with its runs. */
public final class ActiveTask {
    private final TaskName mName;
    private final ActiveStep mStep;
    private final List<TaskRun> mRuns = new ArrayList<>(1);
    private final Set<WorkerIncarnation> mFailedWorkers = new HashSet<>();

    private boolean mDone;
    private int mLastAttempt;
    private long mNoRoomSinceMs = -1;
    private String mCheckpoint = "";
    private CrashHistory mCrashes = CrashHistory.NONE;
    private long mNotBeforeMs = Long.MIN_VALUE / 2;

    ActiveTask(TaskName name, ActiveStep step, boolean done) {
        mName = name;
        mStep = step;
        mDone = done;
    }

    public TaskName name() {
        return mName;
    }

    /** Name of the service whose workers run the task. */
    String service() {
        return mStep.job().definition().service();
    }

    public ActiveStep step() {
        return mStep;
    }

    public TaskStep spec() {
        return mStep.spec();
    }

    List<TaskRun> runs() {
        return mRuns;
    }

    boolean isDone() {
        return mDone;
    }

    void markDone() {
        mDone = true;
    }

    int lastAttempt() {
        return mLastAttempt;
    }

    void recordAttempt(int attempt) {
        mLastAttempt = Math.max(mLastAttempt, attempt);
    }

    /** The task for which crashes are counted: the first one of its gang, or itself. */
    ActiveTask accountable() {
        return spec().placement().gang() ? mStep.tasks().get(0) : this;
    }

    /** Crashes of workers that the task may have caused; kept by {@link #accountable}. */
    public CrashHistory crashes() {
        return mCrashes;
    }

    /** Sets the crashes after one more, and delays the next start. */
    void setCrashes(CrashHistory crashes, long nowMs) {
        mCrashes = crashes;
        mNotBeforeMs = nowMs + crashes.backoffMs();
    }

    /** Takes over the crashes that earlier owners have counted. */
    void inheritCrashes(CrashHistory crashes) {
        if (crashes.crashes() > mCrashes.crashes()) {
            mCrashes = crashes;
        }
    }

    /** Clears the task of earlier crashes, since it ran without one. */
    void clearCrashes() {
        mCrashes = CrashHistory.NONE;
    }

    /** Whether the next start is delayed after crashes. */
    boolean isBackingOff(long nowMs) {
        return nowMs < mNotBeforeMs;
    }

    /** Checkpoint from which the next run resumes; empty to start from the beginning. */
    public String checkpoint() {
        return mCheckpoint;
    }

    void setCheckpoint(String checkpoint) {
        if (mStep.spec().mode().checkpoints()) {
            mCheckpoint = checkpoint;
        }
    }

    /** Records that no worker has capacity; returns for how long that has been so. */
    long recordNoRoom(long nowMs) {
        if (mNoRoomSinceMs < 0) {
            mNoRoomSinceMs = nowMs;
        }
        return nowMs - mNoRoomSinceMs;
    }

    /** Whether the last attempt to place the task found no capacity. */
    boolean lacksRoom() {
        return mNoRoomSinceMs >= 0;
    }

    void clearNoRoom() {
        mNoRoomSinceMs = -1;
    }

    /** Workers on which the task has failed. */
    Set<WorkerIncarnation> failedWorkers() {
        return mFailedWorkers;
    }

    /** Share of the task that its runs have not completed, from 0 to 1. */
    double remainingShare() {
        double remaining = mDone ? 0 : 1;
        for (TaskRun r : mRuns) {
            remaining = Math.min(remaining, 1 - r.progress() / RunStatus.READY_PERCENT);
        }
        return remaining;
    }

    /** Whether the task is not done and has no run. */
    boolean isWaiting() {
        return !mDone && mRuns.isEmpty();
    }

    /** Whether one of its runs certainly serves. */
    boolean isAvailable() {
        return mRuns.stream().anyMatch(TaskRun::isAvailable);
    }
}
