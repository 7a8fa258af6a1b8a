package org.foxtailplank.slo;

import java.util.EnumMap;
import java.util.Map;

/**
 * How many requests of one service ended in which way.
 *
 * @param bySpend requests by what they spent; a missing key is 0
 */
public record ServiceCounts(Map<Spend, Long> bySpend) {

    /** No request at all. */
    public static final ServiceCounts NONE = new ServiceCounts(Map.of());

    public ServiceCounts {
        bySpend = Map.copyOf(bySpend);
    }

    /** Requests that ended in one way. */
    public long of(Spend spend) {
        return bySpend.getOrDefault(spend, 0L);
    }

    /** All requests. */
    public long total() {
        return bySpend.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Requests that the error budget pays for. */
    public long bad() {
        return total() - of(Spend.NONE);
    }

    /** Both together. */
    public ServiceCounts plus(ServiceCounts other) {
        Map<Spend, Long> sum = new EnumMap<>(Spend.class);
        bySpend.forEach((spend, n) -> sum.merge(spend, n, Long::sum));
        other.bySpend.forEach((spend, n) -> sum.merge(spend, n, Long::sum));
        return new ServiceCounts(sum);
    }

    /** What was added since an earlier reading of the same counters. */
    public ServiceCounts minus(ServiceCounts earlier) {
        Map<Spend, Long> rest = new EnumMap<>(Spend.class);
        bySpend.forEach((spend, n) -> rest.put(spend, n - earlier.of(spend)));
        return new ServiceCounts(rest);
    }
}
