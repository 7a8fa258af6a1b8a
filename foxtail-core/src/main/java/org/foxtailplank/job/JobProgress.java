package org.foxtailplank.job;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** State of one job, replayed from the journal. */
public final class JobProgress {
    private final JobDefinition mDefinition;
    private final RunRanges mDoneRuns = new RunRanges();

    /** Progress of the runs that are not done, by their numbers. */
    private final Map<Integer, RunProgress> mOpenRuns = new LinkedHashMap<>();

    private long mCancelledMs;
    private boolean mStarted;
    private boolean mFailed;
    private long mGivenUpMs;
    private long mEndedMs;

    JobProgress(JobDefinition definition) {
        mDefinition = definition;
    }

    public JobDefinition definition() {
        return mDefinition;
    }

    /** Takes a snapshot of the complete state as one record. */
    public JournalRecord.JobSnapshot snapshot() {
        List<JournalRecord.EndedRun> ends = new ArrayList<>();
        mOpenRuns.values().forEach(r -> r.forEachEnd(mEndedMs, ends::add));
        return new JournalRecord.JobSnapshot(
                mDefinition,
                lastStarts(),
                ends,
                new JournalRecord.DoneRuns(mDoneRuns.ranges(), mEndedMs),
                mCancelledMs,
                mGivenUpMs,
                mStarted,
                endedWithWorker());
    }

    /** Summarizes a job that has ended, for callers who ask for it until it expires. */
    public JournalRecord.EndedJob summarize() {
        return new JournalRecord.EndedJob(
                mDefinition.id(),
                mDefinition.route(),
                mDefinition.organisation(),
                phase(),
                mDefinition.acceptedMs(),
                mEndedMs);
    }

    /** Current phase of the job. */
    public JobPhase phase() {
        if (mCancelledMs > 0) {
            return JobPhase.CANCELLED;
        }
        if (mFailed) {
            return JobPhase.FAILED;
        }
        if (mDoneRuns.count() == mDefinition.timetable().runs()) {
            return JobPhase.COMPLETED;
        }
        return mStarted ? JobPhase.RUNNING : JobPhase.QUEUED;
    }

    /** Whether a task has ended with {@link RunOutcome#DONE}. */
    public boolean isDone(TaskName task) {
        return isRunDone(task.run()) || openRun(task).map(r -> r.isDone(task)).orElse(false);
    }

    /** Whether all tasks of a run of the steps are done. */
    public boolean isRunDone(int run) {
        return mDoneRuns.contains(run);
    }

    /** Number of the first run of the steps from {@code run} on that is not done. */
    public int firstUndoneRun(int run) {
        return mDoneRuns.firstMissing(run);
    }

    /** Numbers of the failed attempts of a task; empty once its run of the steps is done. */
    public Set<Integer> failedAttempts(TaskName task) {
        return openRun(task).map(r -> Set.copyOf(r.failedAttempts(task))).orElse(Set.of());
    }

    private Optional<RunProgress> openRun(TaskName task) {
        return Optional.ofNullable(mOpenRuns.get(task.run()));
    }

    private RunProgress openedRun(TaskName task) {
        return mOpenRuns.computeIfAbsent(task.run(), r -> new RunProgress(mDefinition, r));
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

    /** Ends the job in a final phase, unless it has ended. */
    void end(JobPhase phase, long atMs) {
        switch (phase) {
            case CANCELLED -> cancel(atMs);
            case FAILED -> giveUp(atMs);
            case COMPLETED -> {
                RunRange all = new RunRange(0, mDefinition.timetable().runs() - 1);
                recordDoneRuns(new JournalRecord.DoneRuns(List.of(all), atMs));
            }
            default -> throw new IllegalArgumentException(phase + " is not a final phase");
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
        if (isOpen(run.task())) {
            openedRun(run.task()).recordStart(run);
        }
    }

    /** Whether the job contains the task and its run of the steps is not done. */
    private boolean isOpen(TaskName task) {
        return mDefinition.contains(task) && !isRunDone(task.run());
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
        if (isOpen(run.task())) {
            openedRun(run.task()).recordEndWithWorker(run);
        }
    }

    /** The last run of each task that ended with its worker. */
    public List<JournalRecord.StartedRun> endedWithWorker() {
        List<JournalRecord.StartedRun> ended = new ArrayList<>();
        mOpenRuns.values().forEach(r -> ended.addAll(r.endedWithWorker()));
        return ended;
    }

    /** Crashes of workers that a task may have caused, as recorded up to its last start. */
    public CrashHistory crashes(JournalRecord.StartedRun lastStart) {
        return openRun(lastStart.task()).map(r -> r.crashes(lastStart)).orElse(CrashHistory.NONE);
    }

    /**
     * The last recorded start of each started task whose run of the steps is not done; that run of
     * the task may have ended since.
     */
    public List<JournalRecord.StartedRun> lastStarts() {
        List<JournalRecord.StartedRun> starts = new ArrayList<>();
        mOpenRuns.values().forEach(r -> starts.addAll(r.lastStarts()));
        return starts;
    }

    /** Whether the end of a run is recorded, or its task is done. */
    public boolean hasEnded(JournalRecord.StartedRun run) {
        return isRunDone(run.task().run())
                || openRun(run.task()).map(r -> r.hasEnded(run)).orElse(false);
    }

    /** Records runs of the steps that are done, as a snapshot lists them. */
    void recordDoneRuns(JournalRecord.DoneRuns done) {
        if (phase().isFinal()) {
            return;
        }
        int runs = mDefinition.timetable().runs();
        for (RunRange r : done.ranges()) {
            if (r.last() < runs) {
                mStarted = true;
                mDoneRuns.add(r);
                mOpenRuns.keySet().removeIf(n -> n >= r.first() && n <= r.last());
            }
        }
        if (phase().isFinal()) {
            mEndedMs = done.endedMs();
        }
    }

    void recordEnd(JournalRecord.EndedRun run) {
        if (!isOpen(run.task()) || phase().isFinal()) {
            return;
        }
        mStarted = true;
        RunProgress progress = openedRun(run.task());
        progress.recordEnded(run.task(), run.attempt());
        if (mDefinition.steps().get(run.task().step()).mode().standing()) {
            return;
        }
        if (run.outcome() == RunOutcome.DONE) {
            progress.markDone(run.task());
            closeIfDone(run.task().run(), progress);
        } else if (run.outcome() == RunOutcome.FAILED) {
            // A gang fails as a whole, so its failures are counted for its first task.
            int failures = progress.recordFailure(failureTask(run.task()), run.attempt());
            mFailed |= failures >= mDefinition.policy().maxAttempts();
        }
        if (phase().isFinal()) {
            mEndedMs = run.atMs();
        }
    }

    /** Replaces the progress of a run of the steps by its number once all tasks are done. */
    private void closeIfDone(int number, RunProgress progress) {
        if (progress.isDone()) {
            mOpenRuns.remove(number);
            mDoneRuns.add(new RunRange(number, number));
        }
    }

    /** The task that failures of a task are counted for: the first one of its gang, or itself. */
    public TaskName failureTask(TaskName task) {
        boolean gang = mDefinition.steps().get(task.step()).placement().gang();
        return gang ? new TaskName(task.job(), task.run(), task.step(), 0) : task;
    }
}
