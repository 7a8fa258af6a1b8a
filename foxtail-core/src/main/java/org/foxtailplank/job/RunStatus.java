package org.foxtailplank.job;

/**
 * State of a run, as reported by its worker.
 *
 * @param task the task
 * @param attempt number of the attempt
 * @param checkpoint latest checkpoint; empty if there is none
 * @param percent progress in percent; 100 for a standing task that is ready
 * @param gauge tail latency in milliseconds for a serving task, otherwise processor use in
 *     millicores; measured over the last half second
 */
public record RunStatus(TaskName task, int attempt, String checkpoint, double percent, long gauge) {
    /** Progress at which a standing task counts as ready. */
    public static final double READY_PERCENT = 100;
}
