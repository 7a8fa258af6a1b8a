package org.foxtailplank.node.caller;

import org.foxtailplank.node.MetricNames;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.organisation.Organisation;

/** Counts answers and measures their latency by organisation, for a limited number of them. */
final class OrganisationMetrics {
    /** Further organisations share one set of metrics. */
    static final int MAX_ORGANISATIONS = 100;

    private static final int STATUS_CLASS = 100;

    private final NodeMetrics mMetrics;
    private final MetricNames mNames = new MetricNames(MAX_ORGANISATIONS);

    OrganisationMetrics(NodeMetrics metrics) {
        mMetrics = metrics;
    }

    /** Records an answer to a request of an organisation; does nothing without one. */
    void recordAnswer(String organisation, int status, long latencyMs) {
        if (organisation.equals(Organisation.NONE)) {
            return;
        }
        String prefix = "organisation_" + mNames.of(organisation) + "_answer";
        mMetrics.counter(prefix + "s_" + status / STATUS_CLASS + "xx").inc();
        mMetrics.latency(prefix).update(latencyMs);
    }
}
