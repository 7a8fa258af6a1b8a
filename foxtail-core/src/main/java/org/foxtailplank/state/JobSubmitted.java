package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;

/**
 * A job is submitted.
 *
 * @param job the job
 * @param spec what it asks for
 * @param author who and why
 */
public record JobSubmitted(JobId job, JobSpec spec, Author author) implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }

    @Override
    public Set<ObjectKey> reads() {
        return Set.of(ObjectKey.of(spec.pool()));
    }
}
