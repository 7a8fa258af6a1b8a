package org.foxtailplank.schedule;

import java.util.SplittableRandom;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.TaskStep;

/**
 * True run times of a simulated job's tasks.
 *
 * @param slowdowns factors on the estimates, by step
 * @param stragglers share of the tasks that take {@link #STRAGGLER_FACTOR} times as long
 * @param seed seed of the choice of these tasks
 */
record RunTimes(double[] slowdowns, double stragglers, long seed) {
    private static final double STRAGGLER_FACTOR = 7;

    /** Run time of a task, in milliseconds. */
    double ofTask(JobDefinition definition, TaskName task) {
        return ofTask(definition, task.step(), task.index());
    }

    private double ofTask(JobDefinition definition, int step, int task) {
        double ms = definition.steps().get(step).estimateMs() * slowdowns[step];
        if (stragglers == 0) {
            return ms;
        }
        SplittableRandom random = new SplittableRandom(seed + 1000L * step + task);
        return random.nextDouble() < stragglers ? STRAGGLER_FACTOR * ms : ms;
    }

    /** Length of the chain of steps, in milliseconds. */
    double chainMs(JobDefinition definition) {
        double chainMs = 0;
        for (int s = 0; s < slowdowns.length; s++) {
            double longest = 0;
            for (int t = 0; t < definition.steps().get(s).tasks(); t++) {
                longest = Math.max(longest, ofTask(definition, s, t));
            }
            chainMs += longest;
        }
        return chainMs;
    }

    /** Work of all tasks, in milliseconds times thousandths of a core. */
    double work(JobDefinition definition) {
        double work = 0;
        for (int s = 0; s < slowdowns.length; s++) {
            TaskStep step = definition.steps().get(s);
            for (int t = 0; t < step.tasks(); t++) {
                work += step.demand().milliProcessors() * ofTask(definition, s, t);
            }
        }
        return work;
    }
}
