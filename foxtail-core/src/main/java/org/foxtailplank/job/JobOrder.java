package org.foxtailplank.job;

import java.util.List;

/**
 * A job as its caller handed it in.
 *
 * @param id the caller's ID of the job
 * @param route name of the queue
 * @param service service whose workers run the tasks
 * @param text text that is handed to each task
 * @param steps steps of the job
 * @param timetable when the steps run
 * @param terms terms of the queue when the job came
 * @param acceptedMs when the job came, in milliseconds since 1970
 */
public record JobOrder(
        String id,
        String route,
        String service,
        String text,
        List<TaskStep> steps,
        Timetable timetable,
        QueueTerms terms,
        long acceptedMs) {
    public JobOrder {
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
    public int firstTask(int step) {
        int sum = 0;
        for (int s = 0; s < step; s++) {
            sum += steps.get(s).tasks();
        }
        return sum;
    }

    /** Position of a task among all tasks of the job. */
    public int position(TaskName task) {
        return task.run() * tasksPerRun() + firstTask(task.step()) + task.index();
    }

    /** The task at a position among all tasks of the job. */
    public TaskName task(int position) {
        int run = position / tasksPerRun();
        int rest = position % tasksPerRun();
        int step = 0;
        while (rest >= steps.get(step).tasks()) {
            rest -= steps.get(step).tasks();
            step++;
        }
        return new TaskName(id, run, step, rest);
    }

    /** Whether a task of this name exists in the job. */
    public boolean has(TaskName task) {
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

    /** Estimated work of one run, in milliseconds of a thousandth of a core. */
    public double work() {
        double sum = 0;
        for (TaskStep s : steps) {
            sum += (double) s.tasks() * s.estimateMs() * s.demand().milliProcessors();
        }
        return sum;
    }

    /** Longest chain of estimated work through the steps, in milliseconds. */
    public long chainMs() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int d : steps.get(i).dependsOn()) {
                start = Math.max(start, ends[d]);
            }
            ends[i] = start + steps.get(i).estimateMs();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
