package org.foxtailplank.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** How much work a second arrives at each service, over the last moments. */
final class ArrivalRate {
    /** Time looked back, in milliseconds: short against a queue's turn of some seconds. */
    private static final long WINDOW_MS = 600;

    private final Map<String, Deque<Arrival>> mArrivals = new HashMap<>();

    private record Arrival(long atMs, double work) {}

    void arrived(String service, double work, long nowMs) {
        mArrivals.computeIfAbsent(service, s -> new ArrayDeque<>()).add(new Arrival(nowMs, work));
    }

    /** Work a millisecond, in the unit of what arrived. */
    double perMs(String service, long nowMs) {
        Deque<Arrival> arrivals = mArrivals.get(service);
        if (arrivals == null) {
            return 0;
        }
        while (!arrivals.isEmpty() && arrivals.peek().atMs() < nowMs - WINDOW_MS) {
            arrivals.poll();
        }
        double sum = 0;
        for (Arrival a : arrivals) {
            sum += a.work();
        }
        return sum / WINDOW_MS;
    }
}
