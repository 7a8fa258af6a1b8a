package org.foxtailplank.node.caller;

import java.util.Locale;
import org.foxtailplank.admission.Verdict;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.node.MetricNames;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.organisation.Organisation;

/** Counts the decisions on submissions by queue and by organisation. */
final class AdmissionMetrics {
    /** Further queues share one set of counters. */
    private static final int MAX_QUEUES = 32;

    private final NodeMetrics mMetrics;
    private final MetricNames mQueues = new MetricNames(MAX_QUEUES);
    private final MetricNames mOrganisations =
            new MetricNames(OrganisationMetrics.MAX_ORGANISATIONS);

    AdmissionMetrics(NodeMetrics metrics) {
        mMetrics = metrics;
    }

    /** Counts an accepted job by its outlook, or by what the decision rests on without one. */
    void recordAccepted(JobDefinition job, Verdict verdict) {
        Enum<?> reason =
                verdict.basis() == Verdict.Basis.ESTIMATE ? verdict.outlook() : verdict.basis();
        record(job, "accepted_" + reason.name().toLowerCase(Locale.ROOT));
    }

    /** Counts a job that is accepted since another node may have stored it. */
    void recordMayBeStored(JobDefinition job) {
        record(job, "accepted_may_be_stored");
    }

    void recordRefused(JobDefinition job) {
        record(job, "refused");
    }

    private void record(JobDefinition job, String decision) {
        mMetrics.counter("admission_queue_" + mQueues.of(job.route()) + '_' + decision).inc();
        if (!job.organisation().equals(Organisation.NONE)) {
            String name = mOrganisations.of(job.organisation());
            mMetrics.counter("admission_organisation_" + name + '_' + decision).inc();
        }
    }
}
