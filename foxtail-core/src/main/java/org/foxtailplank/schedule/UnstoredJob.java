package org.foxtailplank.schedule;

import java.util.Optional;
import org.foxtailplank.job.JobDefinition;

/**
 * A batch job whose submission was rejected since the store took no record.
 *
 * @param id ID of the job
 * @param service service whose workers would run its tasks
 * @param organisation name of the organisation that it belongs to; empty for none
 * @param milliCores capacity that it needs to meet its objective, in thousandths of a core
 * @param ageMs time since its submission, in milliseconds
 */
public record UnstoredJob(
        String id, String service, String organisation, long milliCores, long ageMs) {
    public UnstoredJob {
        if (milliCores < 0 || ageMs < 0) {
            throw new IllegalArgumentException(
                    "negative demand or age of job " + id + ": " + milliCores + ", " + ageMs);
        }
    }

    /**
     * Returns the job of a submission; empty if its tasks aren't needed as soon as possible.
     *
     * @param ageMs time since the submission, in milliseconds
     */
    public static Optional<UnstoredJob> of(JobDefinition job, long ageMs) {
        if (!ArrivalRate.isBatch(job)) {
            return Optional.empty();
        }
        long milliCores = Math.round(CoreDemand.of(job));
        return Optional.of(
                new UnstoredJob(job.id(), job.service(), job.organisation(), milliCores, ageMs));
    }
}
