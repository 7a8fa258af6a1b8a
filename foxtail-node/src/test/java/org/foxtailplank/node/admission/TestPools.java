package org.foxtailplank.node.admission;

import java.util.List;
import java.util.Map;
import org.foxtailplank.admission.AdmittedShare;
import org.foxtailplank.admission.QueueCapacity;

/** Creates reports of pools. */
public final class TestPools {
    private TestPools() {}

    /** Returns a pool of a number of cores with work ahead, in core-milliseconds. */
    public static ReportedPool pool(
            String service, long measuredMs, int cores, long workAhead, long share) {
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
                        Map.of());
        return new ReportedPool(capacity, new AdmittedShare(share * 1000), 1000);
    }
}
