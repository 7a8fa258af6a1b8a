package org.foxtailplank.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Number of requests that one entry has in flight at each instance.
 *
 * <p>Instances are identified by a hash of their name to keep heartbeats small. Instances whose
 * hashes collide are counted as one, which can only cause a short queue.
 *
 * @param inFlight positive in-flight counts by hash of the instance name
 */
public record LoadSummary(Map<Integer, Integer> inFlight) {

    /** Maximum number of instances in a summary; the least loaded ones are omitted. */
    public static final int MAX_INSTANCES = 48;

    private static final LoadSummary NONE = new LoadSummary(Map.of());

    public LoadSummary {
        inFlight = Map.copyOf(inFlight);
    }

    /** Returns a summary with no requests in flight. */
    public static LoadSummary none() {
        return NONE;
    }

    /** Creates a summary from in-flight counts by instance name. */
    public static LoadSummary of(Map<String, Integer> byInstance) {
        Map<Integer, Integer> counts = new HashMap<>();
        byInstance.entrySet().stream()
                .filter(e -> e.getValue() > 0)
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(MAX_INSTANCES)
                .forEach(e -> counts.merge(hash(e.getKey()), e.getValue(), Integer::sum));
        return new LoadSummary(counts);
    }

    /** Returns the number of requests in flight at an instance. */
    public int inFlightAt(String instance) {
        return inFlight.getOrDefault(hash(instance), 0);
    }

    private static int hash(String instance) {
        return instance.hashCode();
    }
}
