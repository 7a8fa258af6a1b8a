package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;

/** A task of an active job, with its runs. */
public final class TaskSlot {
    private final TaskName mName;
    private final ActiveStep mStep;
    private final List<TaskRun> mRuns = new ArrayList<>(1);
    private final Set<String> mAvoid = new HashSet<>();

    private boolean mDone;
    private int mLastAttempt;
    private long mNoRoomMs = -1;
    private String mCheckpoint = "";

    TaskSlot(TaskName name, ActiveStep step, boolean done) {
        mName = name;
        mStep = step;
        mDone = done;
    }

    public TaskName name() {
        return mName;
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

    void done() {
        mDone = true;
    }

    int lastAttempt() {
        return mLastAttempt;
    }

    void attempt(int attempt) {
        mLastAttempt = Math.max(mLastAttempt, attempt);
    }

    /** Where the next run can go on from; empty for the beginning. */
    public String checkpoint() {
        return mCheckpoint;
    }

    void checkpoint(String checkpoint) {
        if (mStep.spec().mode().checkpoints()) {
            mCheckpoint = checkpoint;
        }
    }

    /** Notes that it finds no room; returns for how long it has found none. */
    long noRoom(long nowMs) {
        if (mNoRoomMs < 0) {
            mNoRoomMs = nowMs;
        }
        return nowMs - mNoRoomMs;
    }

    /** Whether it found no room when it was last tried. */
    boolean lacksRoom() {
        return mNoRoomMs >= 0;
    }

    void hasRoom() {
        mNoRoomMs = -1;
    }

    /** Workers on which it has failed. */
    Set<String> avoid() {
        return mAvoid;
    }

    /** Whether it waits for a worker. */
    boolean isWaiting() {
        return !mDone && mRuns.isEmpty();
    }

    /** Whether a run of it serves or works. */
    boolean isAtWork() {
        return mRuns.stream().anyMatch(TaskRun::isAtWork);
    }
}
