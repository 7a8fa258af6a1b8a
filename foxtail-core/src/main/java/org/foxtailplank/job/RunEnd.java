package org.foxtailplank.job;

/**
 * The end of a run, as its worker lists it.
 *
 * @param sequence number of the end in this life of the worker, from 1
 * @param task the task
 * @param attempt number of the run
 * @param outcome how it ended
 * @param checkpoint where it can go on from; empty for the beginning
 */
public record RunEnd(
        long sequence, TaskName task, int attempt, RunOutcome outcome, String checkpoint) {}
