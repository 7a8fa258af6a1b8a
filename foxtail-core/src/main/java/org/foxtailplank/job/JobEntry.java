package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the journal tells of one job. */
public final class JobEntry {
    private final JobOrder mOrder;
    private final BitSet mDone = new BitSet();
    private final Map<Integer, Set<Integer>> mFailedAttempts = new HashMap<>();
    private final Map<Integer, JournalRecord.StartedRun> mLastStarts = new HashMap<>();
    private final Set<Long> mEndedAttempts = new HashSet<>();
    private final int mTasks;

    private long mCancelledMs;
    private long mStatedMs;
    private boolean mBegun;
    private boolean mFailed;
    private long mEndedMs;

    JobEntry(JobOrder order) {
        mOrder = order;
        mStatedMs = order.acceptedMs();
        mTasks = order.tasksPerRun() * order.timetable().runs();
    }

    public JobOrder order() {
        return mOrder;
    }

    /** When a record last told all of it, in milliseconds since 1970. */
    public long statedMs() {
        return mStatedMs;
    }

    /** All that is known of it, as one record; it counts as told from now on. */
    public JournalRecord.JobRestated restate(long nowMs) {
        mStatedMs = nowMs;
        List<JournalRecord.EndedRun> ends = new ArrayList<>();
        mDone.stream().forEach(p -> ends.add(end(mOrder.task(p), 0, RunOutcome.DONE)));
        mFailedAttempts.forEach(
                (p, attempts) ->
                        attempts.forEach(a -> ends.add(end(mOrder.task(p), a, RunOutcome.FAILED))));
        return new JournalRecord.JobRestated(
                mOrder, List.copyOf(mLastStarts.values()), ends, mCancelledMs);
    }

    private JournalRecord.EndedRun end(TaskName task, int attempt, RunOutcome outcome) {
        return new JournalRecord.EndedRun(task, attempt, outcome, mEndedMs);
    }

    /** Where the job stands. */
    public JobPhase phase() {
        if (mCancelledMs > 0) {
            return JobPhase.CANCELLED;
        }
        if (mFailed) {
            return JobPhase.FAILED;
        }
        if (!mOrder.isStanding() && mDone.cardinality() == mTasks) {
            return JobPhase.COMPLETED;
        }
        return mBegun ? JobPhase.RUNNING : JobPhase.QUEUED;
    }

    /** Whether a task is known to have ended done. */
    public boolean isDone(TaskName task) {
        return mDone.get(mOrder.position(task));
    }

    /** Numbers of the runs of a task that have failed. */
    public Set<Integer> failedAttempts(TaskName task) {
        return Set.copyOf(mFailedAttempts.getOrDefault(mOrder.position(task), Set.of()));
    }

    /** When the job reached its last phase, in milliseconds since 1970; 0 while it has not. */
    public long endedMs() {
        return mEndedMs;
    }

    void cancel(long atMs) {
        if (!phase().isFinal()) {
            mCancelledMs = Math.max(1, atMs);
            mEndedMs = atMs;
        }
    }

    /**
     * A start was written down. The job has not begun by that: the order may never arrive, and a
     * caller that were told so would think it at work while it waits.
     */
    void started(JournalRecord.StartedRun run) {
        if (mOrder.has(run.task())) {
            mLastStarts.merge(
                    mOrder.position(run.task()), run, (a, b) -> a.attempt() > b.attempt() ? a : b);
        }
    }

    /** A worker has said that a first task has started. */
    void begun() {
        mBegun = true;
    }

    /** Whether a first task is known to have started. */
    public boolean hasBegun() {
        return mBegun;
    }

    /** The last start of each task that was started; its run may have ended since. */
    public Collection<JournalRecord.StartedRun> lastStarts() {
        return mLastStarts.values();
    }

    /** Whether the journal tells that a run has ended done or failed. */
    public boolean hasEnded(JournalRecord.StartedRun run) {
        return isDone(run.task()) || mEndedAttempts.contains(endKey(run.task(), run.attempt()));
    }

    private long endKey(TaskName task, int attempt) {
        return ((long) mOrder.position(task) << Integer.SIZE) + attempt;
    }

    void ended(JournalRecord.EndedRun run) {
        if (!mOrder.has(run.task()) || phase().isFinal()) {
            return;
        }
        mBegun = true;
        mEndedAttempts.add(endKey(run.task(), run.attempt()));
        TaskStep step = mOrder.steps().get(run.task().step());
        if (step.mode().standing()) {
            return;
        }
        if (run.outcome() == RunOutcome.DONE) {
            done(run.task(), step);
        } else if (run.outcome() == RunOutcome.FAILED) {
            failed(run);
        }
        if (phase().isFinal()) {
            mEndedMs = run.atMs();
        }
    }

    private void done(TaskName task, TaskStep step) {
        if (!step.placement().gang()) {
            mDone.set(mOrder.position(task));
            return;
        }
        // The members of a gang end together: one end that is done stands for all of them.
        int first = mOrder.position(new TaskName(task.job(), task.run(), task.step(), 0));
        mDone.set(first, first + step.tasks());
    }

    private void failed(JournalRecord.EndedRun run) {
        // A gang fails as a whole, so its failures are counted on its first task.
        TaskName task = counted(run.task());
        Set<Integer> attempts =
                mFailedAttempts.computeIfAbsent(mOrder.position(task), p -> new HashSet<>());
        attempts.add(run.attempt());
        mFailed |= attempts.size() >= mOrder.terms().maxAttempts();
    }

    /** The task on which failures are counted. */
    public TaskName counted(TaskName task) {
        boolean gang = mOrder.steps().get(task.step()).placement().gang();
        return gang ? new TaskName(task.job(), task.run(), task.step(), 0) : task;
    }
}
