package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;

/**
 * A worker has confirmed what became of a task.
 *
 * @param job the job
 * @param task index of the task
 * @param worker the worker
 * @param attempt attempt number
 * @param outcome what became of it
 */
public record TaskConfirmed(JobId job, int task, VmId worker, long attempt, TaskOutcome outcome)
        implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }
}
