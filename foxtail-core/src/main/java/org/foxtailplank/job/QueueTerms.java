package org.foxtailplank.job;

import java.util.Optional;

/**
 * The terms of the queue that a job was handed in to.
 *
 * @param priority 0 goes first
 * @param maxAttempts failed runs of a task after which its job has failed
 * @param stretch the objective as a multiple of the job's longest chain of work
 * @param sloMs time added to the objective, in milliseconds
 * @param advice the queue's placement advice, if it has one
 */
public record QueueTerms(
        int priority, int maxAttempts, double stretch, long sloMs, Optional<AdviceTerms> advice) {}
