package org.foxtailplank.schedule;

import java.util.HashMap;
import java.util.Map;

/** Tracks the ratio of actual to estimated run time by service, as a moving average. */
final class RunTimeRatios {
    /** Weight of the newest run in the average. */
    private static final double NEWEST_WEIGHT = 0.05;

    private final Map<String, Double> mRatios = new HashMap<>();

    void recordRun(String service, double ratio) {
        mRatios.merge(service, Math.max(1, ratio), (old, r) -> old + NEWEST_WEIGHT * (r - old));
    }

    /** Returns the average, at least 1; 1 if no run of the service has completed. */
    double ratio(String service) {
        return Math.max(1, mRatios.getOrDefault(service, 1.0));
    }
}
