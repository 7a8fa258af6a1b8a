package org.foxtailplank.node.admission;

import java.util.List;
import java.util.Map;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;
import org.foxtailplank.admission.QueueCapacity.OrganisationCapacity;

/** Creates reports of pools. */
public final class TestPools {
    private TestPools() {}

    /** Returns a pool of a number of cores with work ahead, in core-milliseconds. */
    public static ReportedPool pool(
            String service, long measuredMs, int cores, long workAhead, long share) {
        return pool(service, measuredMs, cores, workAhead, share, Map.of());
    }

    /** The same where the cap of an organisation lets it do the work ahead on as many cores. */
    public static ReportedPool cappedPool(
            String service, long measuredMs, int cores, long workAhead, String organisation) {
        OrganisationCapacity cap = new OrganisationCapacity(cores * 1000L, workAhead * 1000);
        return pool(service, measuredMs, cores, workAhead, 1000, Map.of(organisation, cap));
    }

    private static ReportedPool pool(
            String service,
            long measuredMs,
            int cores,
            long workAhead,
            long share,
            Map<String, OrganisationCapacity> organisations) {
        QueueCapacity capacity =
                new QueueCapacity(
                        service,
                        measuredMs,
                        cores * 1000L,
                        0,
                        List.of(),
                        workAhead * 1000,
                        0,
                        0,
                        organisations);
        return new ReportedPool(capacity, new AdmittedShare(share * 1000), 1000);
    }
}
