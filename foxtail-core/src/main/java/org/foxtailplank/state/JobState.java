package org.foxtailplank.state;

import java.util.Map;
import org.foxtailplank.id.JobId;

/**
 * A job as folded from the log.
 *
 * @param id the job
 * @param spec resource requirements
 * @param cancelled whether it was cancelled
 * @param tasks tasks that were ever placed, by index
 * @param version offset of its last change
 */
public record JobState(
        JobId id, JobSpec spec, boolean cancelled, Map<Integer, TaskState> tasks, long version) {}
