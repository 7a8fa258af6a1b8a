package org.foxtailplank.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Tracks how fast the demand of each service grows by arriving jobs. */
final class ArrivalRate {
    /** Length of the sliding window, in milliseconds; short compared with a burst. */
    private static final long WINDOW_MS = 400;

    private final Map<String, Deque<Arrival>> mArrivals = new HashMap<>();

    private Optional<BurstForecast> mForecast = Optional.empty();

    private record Arrival(long atMs, double milliCores) {}

    /** Lets a forecast learn from the arrivals from now on. */
    void setForecast(BurstForecast forecast) {
        mForecast = Optional.of(forecast);
    }

    /** Records the arrival of a job that needs this many thousandths of a core. */
    void recordArrival(String service, double milliCores, long nowMs) {
        mArrivals
                .computeIfAbsent(service, s -> new ArrayDeque<>())
                .add(new Arrival(nowMs, milliCores));
        mForecast.ifPresent(f -> f.recordArrival(service, milliCores, nowMs));
    }

    /** Demand that arrives per millisecond, in thousandths of a core. */
    double growthPerMs(String service, long nowMs) {
        Deque<Arrival> arrivals = mArrivals.get(service);
        if (arrivals == null) {
            return 0;
        }
        while (!arrivals.isEmpty() && arrivals.peek().atMs() < nowMs - WINDOW_MS) {
            arrivals.poll();
        }
        double sum = 0;
        for (Arrival a : arrivals) {
            sum += a.milliCores();
        }
        return sum / WINDOW_MS;
    }
}
