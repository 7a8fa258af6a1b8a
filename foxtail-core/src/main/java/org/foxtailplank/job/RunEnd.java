package org.foxtailplank.job;

/**
 * The end of a run, as reported by its worker.
 *
 * @param sequence sequence number of the end since the worker started, from 1
 * @param task the task
 * @param attempt number of the attempt
 * @param outcome how it ended
 * @param checkpoint checkpoint to resume from; empty to start from the beginning
 */
public record RunEnd(
        long sequence, TaskName task, int attempt, RunOutcome outcome, String checkpoint) {}
