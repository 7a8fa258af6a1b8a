package org.foxtailplank.job;

/**
 * A run that a worker says is running.
 *
 * @param task the task
 * @param attempt number of the run
 * @param checkpoint newest checkpoint; empty for none
 * @param percent progress; 100 for a standing task that is at work
 * @param gauge tail latency of a serving task in milliseconds, else processor use in thousandths of
 *     a core; over the last half second
 */
public record RunView(TaskName task, int attempt, String checkpoint, double percent, long gauge) {
    /** Progress at which a standing task counts as at work. */
    public static final double AT_WORK = 100;
}
