package org.foxtailplank.job;

import java.util.List;

/**
 * Definition of a job as submitted by its caller.
 *
 * @param id job ID assigned by the caller
 * @param route name of the queue
 * @param service service whose workers run the tasks
 * @param text opaque text passed to each task
 * @param steps steps of the job, in dependency order
 * @param timetable when the steps run
 * @param policy settings of the queue when the job was accepted
 * @param acceptedMs when the job was accepted, in milliseconds since the epoch
 * @param configVersion version of the configuration by which it was accepted; 0 if unknown
 * @param organisation name of the organisation that it belongs to; empty for none
 */
public record JobDefinition(
        String id,
        String route,
        String service,
        String text,
        List<TaskStep> steps,
        Timetable timetable,
        QueuePolicy policy,
        long acceptedMs,
        long configVersion,
        String organisation) {
    /** Most tasks of a job, over all runs of its steps. */
    public static final int MAX_TASKS = Integer.MAX_VALUE;

    public JobDefinition {
        steps = List.copyOf(steps);
    }

    /** Number of tasks of one run of the steps. */
    public int tasksPerRun() {
        int sum = 0;
        for (TaskStep s : steps) {
            sum += s.tasks();
        }
        return sum;
    }

    /** Position of the first task of a step within one run. */
    public int firstPosition(int step) {
        int sum = 0;
        for (int s = 0; s < step; s++) {
            sum += steps.get(s).tasks();
        }
        return sum;
    }

    /** Position of a task among those of its run. */
    public int position(TaskName task) {
        return firstPosition(task.step()) + task.index();
    }

    /** The task at a position among those of a run. */
    public TaskName task(int run, int position) {
        int rest = position;
        int step = 0;
        while (rest >= steps.get(step).tasks()) {
            rest -= steps.get(step).tasks();
            step++;
        }
        return new TaskName(id, run, step, rest);
    }

    /** Whether the job contains a task of this name. */
    public boolean contains(TaskName task) {
        return task.step() >= 0
                && task.step() < steps.size()
                && task.index() >= 0
                && task.index() < steps.get(task.step()).tasks()
                && task.run() >= 0
                && task.run() < timetable.runs();
    }

    /** Whether any step runs until the job is cancelled. */
    public boolean isStanding() {
        return steps.stream().anyMatch(s -> s.mode().standing());
    }

    /** Estimated work of one run, in millicore-milliseconds. */
    public double estimatedWork() {
        double sum = 0;
        for (TaskStep s : steps) {
            sum += (double) s.tasks() * s.estimateMs() * s.demand().milliProcessors();
        }
        return sum;
    }

    /** Estimated length of the critical path through the steps, in milliseconds. */
    public long criticalPathMs() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int dependency : steps.get(i).dependsOn()) {
                start = Math.max(start, ends[dependency]);
            }
            ends[i] = start + steps.get(i).estimateMs();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    /** Time that the objective allows for one run of the steps as estimated, in milliseconds. */
    public long objectiveLengthMs() {
        return objectiveLengthMs(criticalPathMs());
    }

    /** Time that the objective allows for one run of the steps with a critical path. */
    public long objectiveLengthMs(long criticalPathMs) {
        return (long) (policy.stretch() * criticalPathMs) + policy.sloMs();
    }
}
