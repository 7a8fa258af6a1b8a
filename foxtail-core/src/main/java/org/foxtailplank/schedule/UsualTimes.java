package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Map;

/** How long tasks of each service take against their estimates, as a mean that moves slowly. */
final class UsualTimes {
    /** Weight of the newest run. */
    private static final double NEWEST = 0.05;

    private final Map<String, Double> mRatios = new HashMap<>();

    void done(String service, double ratio) {
        mRatios.merge(service, Math.max(1, ratio), (old, r) -> old + NEWEST * (r - old));
    }

    /** The mean; 1 for a service of which nothing is known, and never less. */
    double ratio(String service) {
        return Math.max(1, mRatios.getOrDefault(service, 1.0));
    }
}
