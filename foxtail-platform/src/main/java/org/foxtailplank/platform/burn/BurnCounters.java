package org.foxtailplank.platform.burn;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.slo.ServiceCounts;
import org.foxtailplank.slo.Spend;

/** Reads, for each service, how many requests have ended in which way since the node started. */
public interface BurnCounters {

    /** The counts so far; they only grow. */
    Map<ServiceId, ServiceCounts> read();

    /** What was added between two readings, without services to which nothing was added. */
    static Map<ServiceId, ServiceCounts> between(
            Map<ServiceId, ServiceCounts> earlier, Map<ServiceId, ServiceCounts> later) {
        Map<ServiceId, ServiceCounts> added = new TreeMap<>();
        later.forEach(
                (service, counts) -> {
                    ServiceCounts before = earlier.getOrDefault(service, ServiceCounts.NONE);
                    ServiceCounts more = withoutZeros(counts.minus(before));
                    if (more.total() > 0) {
                        added.put(service, more);
                    }
                });
        return added;
    }

    private static ServiceCounts withoutZeros(ServiceCounts counts) {
        return new ServiceCounts(
                counts.bySpend().entrySet().stream()
                        .filter(e -> e.getValue() != 0)
                        .collect(
                                Collectors.toMap(
                                        Map.Entry::getKey,
                                        Map.Entry::getValue,
                                        Long::sum,
                                        () -> new EnumMap<>(Spend.class))));
    }
}
