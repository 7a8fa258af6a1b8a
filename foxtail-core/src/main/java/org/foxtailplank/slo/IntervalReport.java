package org.foxtailplank.slo;

import java.time.Instant;
import java.util.Map;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;

/**
 * What one node counted in one reporting interval.
 *
 * @param node the node
 * @param incarnation random number that the node drew when it started
 * @param sequence number of the interval since then, from 1
 * @param end end of the interval
 * @param services counts by service
 */
public record IntervalReport(
        NodeId node,
        long incarnation,
        long sequence,
        Instant end,
        Map<ServiceId, ServiceCounts> services) {

    public IntervalReport {
        services = Map.copyOf(services);
    }
}
