package org.foxtailplank.node.caller;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.node.NodeMetrics;
import org.foxtailplank.organisation.Organisation;

/** Counts answers and measures their latency by organisation, for a limited number of them. */
final class OrganisationMetrics {
    /** Further organisations share one set of metrics. */
    private static final int MAX_ORGANISATIONS = 100;

    private static final String OTHERS = "others";
    private static final int STATUS_CLASS = 100;

    private final NodeMetrics mMetrics;
    private final Map<String, String> mNames = new HashMap<>();

    OrganisationMetrics(NodeMetrics metrics) {
        mMetrics = metrics;
    }

    /** Records an answer to a request of an organisation; does nothing without one. */
    void recordAnswer(String organisation, int status, long latencyMs) {
        if (organisation.equals(Organisation.NONE)) {
            return;
        }
        String prefix = "organisation_" + name(organisation) + "_answer";
        mMetrics.counter(prefix + "s_" + status / STATUS_CLASS + "xx").inc();
        mMetrics.latency(prefix).update(latencyMs);
    }

    /** Returns the name in metrics, in which other characters would break the text format. */
    private String name(String organisation) {
        if (!mNames.containsKey(organisation) && mNames.size() >= MAX_ORGANISATIONS) {
            return OTHERS;
        }
        return mNames.computeIfAbsent(organisation, o -> o.replaceAll("[^A-Za-z0-9-]", "_"));
    }
}
