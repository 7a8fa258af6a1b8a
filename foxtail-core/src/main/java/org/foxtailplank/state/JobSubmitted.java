package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.JobId;

/**
 * Submission of a job.
 *
 * @param job the job
 * @param spec resource requirements
 * @param author who submitted it, and why
 */
public record JobSubmitted(JobId job, JobSpec spec, ChangeAuthor author) implements JobChange {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(job));
    }

    @Override
    public Set<ObjectKey> reads() {
        return Set.of(ObjectKey.of(spec.pool()));
    }
}
