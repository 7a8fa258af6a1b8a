package org.foxtailplank.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** How fast the demand of each service grows by jobs that arrive, over the last moments. */
final class ArrivalRate {
    /** Time looked back, in milliseconds: short against a queue's turn of some seconds. */
    private static final long WINDOW_MS = 400;

    private final Map<String, Deque<Arrival>> mArrivals = new HashMap<>();

    private record Arrival(long atMs, double milliCores) {}

    /** A job has come that needs so many thousandths of a core. */
    void arrived(String service, double milliCores, long nowMs) {
        mArrivals
                .computeIfAbsent(service, s -> new ArrayDeque<>())
                .add(new Arrival(nowMs, milliCores));
    }

    /** Thousandths of a core that are needed more each millisecond. */
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
