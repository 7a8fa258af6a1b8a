package org.foxtailplank.job;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailplank.job.JournalRecord.EndedRun;
import org.foxtailplank.job.JournalRecord.StartedRun;

/** Progress of one run of a job's steps that is not done. Tasks are kept by their position. */
final class RunProgress {
    private final JobDefinition mDefinition;
    private final int mNumber;
    private final BitSet mDoneTasks = new BitSet();
    private final Map<Integer, Set<Integer>> mFailedAttempts = new HashMap<>();
    private final Map<Integer, StartedRun> mLastStarts = new HashMap<>();
    private final Map<Integer, StartedRun> mEndedWithWorker = new HashMap<>();
    private final Set<Long> mEndedAttempts = new HashSet<>();

    RunProgress(JobDefinition definition, int number) {
        mDefinition = definition;
        mNumber = number;
    }

    private int position(TaskName task) {
        return mDefinition.position(task);
    }

    private long attemptKey(TaskName task, int attempt) {
        return ((long) position(task) << Integer.SIZE) + attempt;
    }

    boolean isDone(TaskName task) {
        return mDoneTasks.get(position(task));
    }

    /** Whether all tasks are done. */
    boolean isDone() {
        return mDoneTasks.cardinality() == mDefinition.tasksPerRun();
    }

    void markDone(TaskName task) {
        TaskStep step = mDefinition.steps().get(task.step());
        if (!step.placement().gang()) {
            mDoneTasks.set(position(task));
            return;
        }
        // The members of a gang end together, so one successful member completes all of them.
        int first = mDefinition.firstPosition(task.step());
        mDoneTasks.set(first, first + step.tasks());
    }

    void recordStart(StartedRun run) {
        mLastStarts.merge(position(run.task()), run, RunProgress::later);
    }

    void recordEndWithWorker(StartedRun run) {
        recordEnded(run.task(), run.attempt());
        mEndedWithWorker.merge(position(run.task()), run, RunProgress::later);
    }

    private static StartedRun later(StartedRun a, StartedRun b) {
        return a.attempt() > b.attempt() ? a : b;
    }

    void recordEnded(TaskName task, int attempt) {
        mEndedAttempts.add(attemptKey(task, attempt));
    }

    /** Counts a failed attempt of a task; returns the number of them. */
    int recordFailure(TaskName task, int attempt) {
        Set<Integer> attempts =
                mFailedAttempts.computeIfAbsent(position(task), p -> new HashSet<>());
        attempts.add(attempt);
        return attempts.size();
    }

    Set<Integer> failedAttempts(TaskName task) {
        return mFailedAttempts.getOrDefault(position(task), Set.of());
    }

    Collection<StartedRun> lastStarts() {
        return mLastStarts.values();
    }

    Collection<StartedRun> endedWithWorker() {
        return mEndedWithWorker.values();
    }

    CrashHistory crashes(StartedRun lastStart) {
        StartedRun ended = mEndedWithWorker.get(position(lastStart.task()));
        if (ended != null && ended.attempt() >= lastStart.attempt()) {
            return ended.crashes();
        }
        return hasEnded(lastStart) ? CrashHistory.NONE : lastStart.crashes();
    }

    boolean hasEnded(StartedRun run) {
        return isDone(run.task()) || mEndedAttempts.contains(attemptKey(run.task(), run.attempt()));
    }

    /** Passes on the ends of done tasks, of failed attempts and of other last runs of tasks. */
    void forEachEnd(long atMs, Consumer<EndedRun> consumer) {
        mDoneTasks.stream()
                .mapToObj(p -> new EndedRun(task(p), 0, RunOutcome.DONE, atMs))
                .forEach(consumer);
        mFailedAttempts.forEach(
                (p, attempts) ->
                        attempts.stream()
                                .map(
                                        a ->
                                                new EndedRun(
                                                        failedTask(p, a),
                                                        a,
                                                        RunOutcome.FAILED,
                                                        atMs))
                                .forEach(consumer));
        mLastStarts.values().stream()
                .filter(s -> hasEnded(s) && !isDone(s.task()) && !hasFailed(s))
                .filter(s -> !hasEndedWithWorker(s))
                .map(s -> new EndedRun(s.task(), s.attempt(), RunOutcome.STOPPED, atMs))
                .forEach(consumer);
    }

    /**
     * Returns a task of which the attempt has ended: failures of a gang are counted for its first
     * task, whose own run may go on.
     */
    private TaskName failedTask(int position, int attempt) {
        TaskName first = task(position);
        TaskStep step = mDefinition.steps().get(first.step());
        if (step.placement().gang()) {
            for (int p = position; p < position + step.tasks(); p++) {
                if (mEndedAttempts.contains(attemptKey(task(p), attempt))) {
                    return task(p);
                }
            }
        }
        return first;
    }

    private boolean hasEndedWithWorker(StartedRun run) {
        StartedRun ended = mEndedWithWorker.get(position(run.task()));
        return ended != null && ended.attempt() == run.attempt();
    }

    private boolean hasFailed(StartedRun run) {
        return failedAttempts(run.task()).contains(run.attempt());
    }

    private TaskName task(int position) {
        return mDefinition.task(mNumber, position);
    }
}
