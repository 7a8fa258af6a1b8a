package org.foxtailplank.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Requests that one entry has in flight at each instance.
 *
 * <p>Instances are named by a hash, so that the summary stays small in a heartbeat. Two instances
 * with the same hash are seen as one; that costs a moment's queue at most.
 *
 * @param inFlight requests in flight by the hash of the instance's name; only those above 0
 */
public record LoadSummary(Map<Integer, Integer> inFlight) {

    /** Most instances that a summary names; the busiest ones go first. */
    public static final int MAX_INSTANCES = 48;

    private static final LoadSummary NONE = new LoadSummary(Map.of());

    public LoadSummary {
        inFlight = Map.copyOf(inFlight);
    }

    /** Nothing in flight. */
    public static LoadSummary none() {
        return NONE;
    }

    /** Sums up counts by the instance's name. */
    public static LoadSummary of(Map<String, Integer> byInstance) {
        Map<Integer, Integer> counts = new HashMap<>();
        byInstance.entrySet().stream()
                .filter(e -> e.getValue() > 0)
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(MAX_INSTANCES)
                .forEach(e -> counts.merge(hash(e.getKey()), e.getValue(), Integer::sum));
        return new LoadSummary(counts);
    }

    /** Requests in flight at an instance. */
    public int at(String instance) {
        return inFlight.getOrDefault(hash(instance), 0);
    }

    private static int hash(String instance) {
        return instance.hashCode();
    }
}
