package org.foxtailplank.job;

/**
 * How the tasks of a step run.
 *
 * @param speculative whether copies of a task may run side by side
 * @param standing whether the tasks run until the job is cancelled
 * @param checkpoints whether a task can go on from a checkpoint
 * @param fills whether the tasks take only what other tasks leave unused
 * @param targetMs bound on the tail latency of a serving task, in milliseconds; 0 for none
 * @param mayMiss tasks of the step that the system may take away at a time
 */
public record RunMode(
        boolean speculative,
        boolean standing,
        boolean checkpoints,
        boolean fills,
        long targetMs,
        int mayMiss) {
    public static final RunMode PLAIN = new RunMode(false, false, false, false, 0, 0);
}
