package org.foxtailplank.fleet;

import org.foxtailplank.id.JobId;

/**
 * Identifies a task of a job.
 *
 * @param job the job
 * @param index index of the task in the job
 */
public record TaskId(JobId job, int index) {}
