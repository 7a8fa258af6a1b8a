package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;

/**
 * An action on a task is about to be requested from a worker; written to the placement stream of
 * the zone.
 *
 * @param job the job
 * @param task index of the task
 * @param worker the worker
 * @param action the action
 * @param attempt attempt number of the task; fences earlier ones
 */
public record TaskIntended(JobId job, int task, VmId worker, TaskAction action, long attempt)
        implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }

    @Override
    public Set<ObjectKey> reads() {
        return Set.of(ObjectKey.of(worker));
    }
}
