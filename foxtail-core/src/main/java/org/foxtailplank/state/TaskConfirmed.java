package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;

/**
 * A worker has confirmed the outcome of a task or of an action on it.
 *
 * @param job the job
 * @param task index of the task
 * @param worker the worker
 * @param attempt attempt number
 * @param outcome the outcome
 */
public record TaskConfirmed(JobId job, int task, VmId worker, long attempt, TaskOutcome outcome)
        implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }
}
