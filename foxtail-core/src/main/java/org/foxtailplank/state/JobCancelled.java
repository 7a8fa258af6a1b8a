package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;

/**
 * Cancellation of a job.
 *
 * @param job the job
 * @param author who cancelled it, and why
 */
public record JobCancelled(JobId job, ChangeAuthor author) implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }
}
