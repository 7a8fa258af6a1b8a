package org.foxtailplank.job;

/**
 * Execution mode of the tasks of a step.
 *
 * @param speculative whether redundant copies of a task may run concurrently
 * @param standing whether the tasks run until the job is cancelled
 * @param checkpoints whether a task can resume from a checkpoint
 * @param opportunistic whether the tasks use only processor time that other tasks leave idle
 * @param latencyObjectiveMs tail latency objective of a serving task, in milliseconds; 0 for none
 * @param maxUnavailable maximum number of tasks of the step that may be unavailable at a time
 */
public record RunMode(
        boolean speculative,
        boolean standing,
        boolean checkpoints,
        boolean opportunistic,
        long latencyObjectiveMs,
        int maxUnavailable) {
    public static final RunMode PLAIN = new RunMode(false, false, false, false, 0, 0);
}
