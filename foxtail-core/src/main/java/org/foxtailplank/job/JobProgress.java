package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** State of one job, replayed from the journal. */
public final class JobProgress {
    private final JobDefinition mDefinition;
    private final BitSet mDoneTasks = new BitSet();
    private final Map<Integer, Set<Integer>> mFailedAttempts = new HashMap<>();
    private final Map<Integer, JournalRecord.StartedRun> mLastStarts = new HashMap<>();
    private final Map<Integer, JournalRecord.StartedRun> mEndedWithWorker = new HashMap<>();
    private final Set<Long> mEndedAttempts = new HashSet<>();
    private final int mTaskCount;

    private long mCancelledMs;
    private long mSnapshotMs;
    private boolean mStarted;
    private boolean mFailed;
    private long mGivenUpMs;
    private long mEndedMs;

    JobProgress(JobDefinition definition) {
        mDefinition = definition;
        mSnapshotMs = definition.acceptedMs();
        mTaskCount = definition.tasksPerRun() * definition.timetable().runs();
    }

    public JobDefinition definition() {
        return mDefinition;
    }

    /** When the last snapshot was taken, in milliseconds since the epoch. */
    public long snapshotMs() {
        return mSnapshotMs;
    }

    /** Takes a snapshot of the complete state as one record. */
    public JournalRecord.JobSnapshot snapshot(long nowMs) {
        mSnapshotMs = nowMs;
        List<JournalRecord.EndedRun> ends = new ArrayList<>();
        mDoneTasks.stream()
                .forEach(p -> ends.add(endedRun(mDefinition.task(p), 0, RunOutcome.DONE)));
        mFailedAttempts.forEach(
                (p, attempts) ->
                        attempts.forEach(
                                a ->
                                        ends.add(
                                                endedRun(
                                                        mDefinition.task(p),
                                                        a,
                                                        RunOutcome.FAILED))));
        return new JournalRecord.JobSnapshot(
                mDefinition, List.copyOf(mLastStarts.values()), ends, mCancelledMs, mGivenUpMs);
    }

    private JournalRecord.EndedRun endedRun(TaskName task, int attempt, RunOutcome outcome) {
        return new JournalRecord.EndedRun(task, attempt, outcome, mEndedMs);
    }

    /** Current phase of the job. */
    public JobPhase phase() {
        if (mCancelledMs > 0) {
            return JobPhase.CANCELLED;
        }
        if (mFailed) {
            return JobPhase.FAILED;
        }
        if (!mDefinition.isStanding() && mDoneTasks.cardinality() == mTaskCount) {
            return JobPhase.COMPLETED;
        }
        return mStarted ? JobPhase.RUNNING : JobPhase.QUEUED;
    }

    /** Whether a task has ended with {@link RunOutcome#DONE}. */
    public boolean isDone(TaskName task) {
        return mDoneTasks.get(mDefinition.position(task));
    }

    /** Numbers of the failed attempts of a task. */
    public Set<Integer> failedAttempts(TaskName task) {
        return Set.copyOf(mFailedAttempts.getOrDefault(mDefinition.position(task), Set.of()));
    }

    /** When the job reached a final phase, in milliseconds since the epoch; 0 before that. */
    public long endedMs() {
        return mEndedMs;
    }

    void cancel(long atMs) {
        if (!phase().isFinal()) {
            mCancelledMs = Math.max(1, atMs);
            mEndedMs = atMs;
        }
    }

    /** Marks the job as failed because a task of it crashes its workers. */
    void giveUp(long atMs) {
        if (!phase().isFinal()) {
            mFailed = true;
            mGivenUpMs = Math.max(1, atMs);
            mEndedMs = atMs;
        }
    }

    /**
     * Records a start. The job stays queued until a worker reports that the task has started, since
     * the start command may never arrive.
     */
    void recordStart(JournalRecord.StartedRun run) {
        if (mDefinition.contains(run.task())) {
            mLastStarts.merge(
                    mDefinition.position(run.task()),
                    run,
                    (a, b) -> a.attempt() > b.attempt() ? a : b);
        }
    }

    /** Marks the job as started, once a worker has reported the start of a task. */
    void markStarted() {
        mStarted = true;
    }

    /** Whether a worker has reported the start of a task. */
    public boolean hasStarted() {
        return mStarted;
    }

    /** Records that a run has ended because its worker's incarnation did. */
    void recordEndWithWorker(JournalRecord.StartedRun run) {
        if (mDefinition.contains(run.task())) {
            mEndedAttempts.add(attemptKey(run.task(), run.attempt()));
            mEndedWithWorker.merge(
                    mDefinition.position(run.task()),
                    run,
                    (a, b) -> a.attempt() > b.attempt() ? a : b);
        }
    }

    /** The last run of each task that ended with its worker. */
    public Collection<JournalRecord.StartedRun> endedWithWorker() {
        return mEndedWithWorker.values();
    }

    /** Crashes of workers that a task may have caused, as recorded up to its last start. */
    public CrashHistory crashes(JournalRecord.StartedRun lastStart) {
        JournalRecord.StartedRun ended =
                mEndedWithWorker.get(mDefinition.position(lastStart.task()));
        if (ended != null && ended.attempt() >= lastStart.attempt()) {
            return ended.crashes();
        }
        return hasEnded(lastStart) ? CrashHistory.NONE : lastStart.crashes();
    }

    /** The last recorded start of each started task; that run may have ended since. */
    public Collection<JournalRecord.StartedRun> lastStarts() {
        return mLastStarts.values();
    }

    /** Whether the end of a run is recorded, or its task is done. */
    public boolean hasEnded(JournalRecord.StartedRun run) {
        return isDone(run.task()) || mEndedAttempts.contains(attemptKey(run.task(), run.attempt()));
    }

    private long attemptKey(TaskName task, int attempt) {
        return ((long) mDefinition.position(task) << Integer.SIZE) + attempt;
    }

    void recordEnd(JournalRecord.EndedRun run) {
        if (!mDefinition.contains(run.task()) || phase().isFinal()) {
            return;
        }
        mStarted = true;
        mEndedAttempts.add(attemptKey(run.task(), run.attempt()));
        TaskStep step = mDefinition.steps().get(run.task().step());
        if (step.mode().standing()) {
            return;
        }
        if (run.outcome() == RunOutcome.DONE) {
            markDone(run.task(), step);
        } else if (run.outcome() == RunOutcome.FAILED) {
            countFailure(run);
        }
        if (phase().isFinal()) {
            mEndedMs = run.atMs();
        }
    }

    private void markDone(TaskName task, TaskStep step) {
        if (!step.placement().gang()) {
            mDoneTasks.set(mDefinition.position(task));
            return;
        }
        // The members of a gang end together, so one successful member completes all of them.
        int first = mDefinition.position(new TaskName(task.job(), task.run(), task.step(), 0));
        mDoneTasks.set(first, first + step.tasks());
    }

    private void countFailure(JournalRecord.EndedRun run) {
        // A gang fails as a whole, so its failures are counted for its first task.
        TaskName task = failureTask(run.task());
        Set<Integer> attempts =
                mFailedAttempts.computeIfAbsent(mDefinition.position(task), p -> new HashSet<>());
        attempts.add(run.attempt());
        mFailed |= attempts.size() >= mDefinition.policy().maxAttempts();
    }

    /** The task that failures of a task are counted for: the first one of its gang, or itself. */
    public TaskName failureTask(TaskName task) {
        boolean gang = mDefinition.steps().get(task.step()).placement().gang();
        return gang ? new TaskName(task.job(), task.run(), task.step(), 0) : task;
    }
}
