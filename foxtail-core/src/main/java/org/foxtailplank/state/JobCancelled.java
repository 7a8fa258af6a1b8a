package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;

/**
 * A job is cancelled.
 *
 * @param job the job
 * @param author who and why
 */
public record JobCancelled(JobId job, Author author) implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }
}
