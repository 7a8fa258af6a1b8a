package org.foxtailplank.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.lease.ClockReading;

/**
 * Tracks how fast the demand of each service grows by arriving jobs.
 *
 * <p>A burst begins within a few arrivals, and each tenth of a second by which VMs are moved later
 * makes the first jobs late. So where bursts are forecast, the rate counts from the first arrival
 * if all of the window's arrivals are more recent than its beginning.
 */
final class ArrivalRate {
    /** Length of the sliding window, in milliseconds; short compared with a burst. */
    private static final long WINDOW_MS = 400;

    /** Shortest time that arrivals are averaged over, in milliseconds. */
    private static final long MIN_WINDOW_MS = 200;

    /** Fewer arrivals may be a coincidence, and count over the whole window. */
    private static final int MIN_BURST_ARRIVALS = 3;

    private final Map<String, Deque<Arrival>> mArrivals = new HashMap<>();

    private final InheritedArrivals mInherited = new InheritedArrivals();
    private Optional<BurstForecast> mForecast = Optional.empty();

    private record Arrival(long atMs, double milliCores) {}

    /** Lets a forecast learn from the arrivals from now on. */
    void setForecast(BurstForecast forecast) {
        mForecast = Optional.of(forecast);
    }

    /** Records the arrival of a job that is within its organisation's rate. */
    void recordArrival(JobDefinition definition, long nowMs) {
        if (isBatch(definition)) {
            recordArrival(definition.service(), CoreDemand.of(definition), nowMs);
        }
    }

    /** Whether the job's tasks are needed as soon as possible. */
    static boolean isBatch(JobDefinition definition) {
        return !definition.isStanding() && !definition.timetable().isTimed();
    }

    /** Notes a job that arrived before the takeover, even if it has ended, for the forecast. */
    void inherit(JobDefinition definition, boolean entitled) {
        boolean isSummary = definition.steps().isEmpty();
        if (mForecast.isPresent() && !isSummary) {
            mInherited.add(definition, entitled && isBatch(definition));
        }
    }

    /** Lets the forecast, if any, learn from the inherited jobs; returns how many have counted. */
    int learnInherited(ClockReading now, long completeSinceMs) {
        return mForecast.map(f -> mInherited.replay(f, now, completeSinceMs)).orElse(0);
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
        return sum / (mForecast.isPresent() ? windowMs(arrivals, nowMs) : WINDOW_MS);
    }

    /** Time over which the arrivals came: from one mean interval before the first one. */
    private static double windowMs(Deque<Arrival> arrivals, long nowMs) {
        int count = arrivals.size();
        if (count < MIN_BURST_ARRIVALS) {
            return WINDOW_MS;
        }
        double sinceFirstMs = nowMs - arrivals.peek().atMs();
        double spanMs = sinceFirstMs * count / (count - 1);
        return Math.max(MIN_WINDOW_MS, Math.min(WINDOW_MS, spanMs));
    }
}
