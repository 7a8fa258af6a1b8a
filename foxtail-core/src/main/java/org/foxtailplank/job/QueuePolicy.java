package org.foxtailplank.job;

import java.util.Optional;

/**
 * Scheduling settings of the queue that a job was submitted to.
 *
 * @param priority priority of its jobs; 0 is the highest
 * @param maxAttempts number of failed runs of a task after which its job fails
 * @param stretch completion objective as a multiple of the length of the job's critical path
 * @param sloMs constant added to the objective, in milliseconds
 * @param advice settings of the queue's placement advice service, if it has one
 */
public record QueuePolicy(
        int priority, int maxAttempts, double stretch, long sloMs, Optional<AdviceTiming> advice) {}
