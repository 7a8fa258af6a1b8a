package org.foxtailplank.job;

/**
 * What a query about a job returns.
 *
 * @param phase phase of the job
 * @param route name of the queue that it was submitted to
 * @param organisation name of the organisation that it belongs to; empty for none
 */
public record JobSummary(JobPhase phase, String route, String organisation) {

    /** Returns the summary of a job. */
    public static JobSummary of(JobProgress job) {
        JobDefinition definition = job.definition();
        return new JobSummary(job.phase(), definition.route(), definition.organisation());
    }
}
