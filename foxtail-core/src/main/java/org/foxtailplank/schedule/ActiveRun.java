package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;

/** One run of an active job's steps; a job without a timetable has exactly one. */
final class ActiveRun {
    private final ActiveJob mJob;
    private final int mNumber;
    private final long mDueWallMs;
    private final List<ActiveStep> mSteps = new ArrayList<>();

    ActiveRun(ActiveJob job, int number) {
        mJob = job;
        mNumber = number;
        JobProgress progress = job.progress();
        JobDefinition definition = progress.definition();
        mDueWallMs = definition.timetable().dueMs(number);
        for (int s = 0; s < definition.steps().size(); s++) {
            mSteps.add(step(progress, s));
        }
    }

    private ActiveStep step(JobProgress progress, int number) {
        TaskStep spec = progress.definition().steps().get(number);
        ActiveStep step = new ActiveStep(this, number, spec);
        List<ActiveTask> tasks = new ArrayList<>(spec.tasks());
        for (int i = 0; i < spec.tasks(); i++) {
            TaskName name = new TaskName(progress.definition().id(), mNumber, number, i);
            tasks.add(new ActiveTask(name, step, progress.isDone(name)));
        }
        step.setTasks(tasks);
        return step;
    }

    ActiveJob job() {
        return mJob;
    }

    int number() {
        return mNumber;
    }

    List<ActiveStep> steps() {
        return mSteps;
    }

    /** Earliest start, in milliseconds since 1970; 0 for immediately. */
    long dueWallMs() {
        return mDueWallMs;
    }

    boolean isDone() {
        for (ActiveStep s : mSteps) {
            if (s.remainingTasks() > 0) {
                return false;
            }
        }
        return true;
    }

    /** Number of tasks that are not done and have no run. */
    long waitingTasks() {
        long sum = 0;
        for (ActiveStep s : mSteps) {
            sum += s.tasks().stream().filter(ActiveTask::isWaiting).count();
        }
        return sum;
    }

    /** Whether a task has a run on a worker. */
    boolean hasTaskRuns() {
        return mSteps.stream().flatMap(s -> s.tasks().stream()).anyMatch(t -> !t.runs().isEmpty());
    }

    /** Whether all steps that a step depends on are done. */
    boolean areDependenciesDone(ActiveStep step) {
        for (int d : step.spec().dependsOn()) {
            if (mSteps.get(d).remainingTasks() > 0) {
                return false;
            }
        }
        return true;
    }

    /** Whether a task whose dependencies are done waits for a worker. */
    boolean hasWaitingTask() {
        for (ActiveStep s : mSteps) {
            if (s.remainingTasks() > 0
                    && areDependenciesDone(s)
                    && s.tasks().stream().anyMatch(ActiveTask::isWaiting)) {
                return true;
            }
        }
        return false;
    }

    /** Expected duration of the longest chain of steps, in milliseconds. */
    long criticalPathMs() {
        return criticalPathMs(ActiveStep::expectedMs);
    }

    /** Expected time until the longest chain of steps is done, in milliseconds. */
    long remainingCriticalPathMs() {
        return criticalPathMs(ActiveStep::remainingMs);
    }

    private long criticalPathMs(ToLongFunction<ActiveStep> lengthMs) {
        long[] ends = new long[mSteps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            ActiveStep step = mSteps.get(i);
            long start = 0;
            for (int d : step.spec().dependsOn()) {
                start = Math.max(start, ends[d]);
            }
            ends[i] = start + lengthMs.applyAsLong(step);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Expected work of the tasks that have runs, in milliseconds times thousandths of a core. */
    double runningWork() {
        double sum = 0;
        for (ActiveStep s : mSteps) {
            sum += (double) s.expectedMs() * s.spec().demand().milliProcessors() * s.runningTasks();
        }
        return sum;
    }

    /** Demand of the tasks that have runs, in thousandths of a core. */
    double runningMilliCores() {
        double sum = 0;
        for (ActiveStep s : mSteps) {
            sum += (double) s.spec().demand().milliProcessors() * s.runningTasks();
        }
        return sum;
    }

    /**
     * Expected work left, in milliseconds times thousandths of a core; at most the largest long.
     */
    long remainingWork() {
        double sum = 0;
        for (ActiveStep s : mSteps) {
            double taskWork = (double) s.expectedMs() * s.spec().demand().milliProcessors();
            sum += s.remainingTasks() * taskWork;
        }
        return (long) sum;
    }
}
