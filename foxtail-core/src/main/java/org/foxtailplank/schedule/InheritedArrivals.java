package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.lease.ClockReading;

/**
 * Rebuilds for a new owner the arrivals that its predecessor has seen, from the journal's jobs.
 *
 * <p>Serves changes of owner in a burst. A turn is forecast after about two cycles, in which a new
 * owner without these arrivals would move VMs too late.
 */
final class InheritedArrivals {
    /**
     * Time between two steps of the replay, in milliseconds. Each searches all arrivals for turns,
     * so that steps of a tenth of a second would delay the takeover.
     */
    private static final long STEP_MS = 500;

    private final List<Arrival> mArrivals = new ArrayList<>();
    private long mFirstWallMs = Long.MAX_VALUE;
    private long mLastWallMs = Long.MIN_VALUE;

    private record Arrival(String service, double milliCores, long wallMs) {}

    /**
     * Adds a job of the journal.
     *
     * @param isForecast whether its arrival counts for forecasts; other ones show only that the
     *     journal was written at that time
     */
    void add(JobDefinition definition, boolean isForecast) {
        long wallMs = definition.acceptedMs();
        mFirstWallMs = Math.min(mFirstWallMs, wallMs);
        mLastWallMs = Math.max(mLastWallMs, wallMs);
        if (isForecast) {
            mArrivals.add(new Arrival(definition.service(), CoreDemand.of(definition), wallMs));
        }
    }

    /**
     * Lets a new forecast learn from the arrivals, and forgets them.
     *
     * @param now the present time; jobs accepted later, by another node's clock, arrive now
     * @param completeSinceMs wall time since which no accepted job is missing
     * @return number of arrivals that the forecast has learned from
     */
    int replay(BurstForecast forecast, ClockReading now, long completeSinceMs) {
        if (mFirstWallMs > mLastWallMs) {
            return 0;
        }
        long offsetMs = now.steadyMs() - now.wallMs();
        long oldestMs = Math.max(0, now.steadyMs() - ArrivalHistory.LENGTH_MS);
        long sinceMs = Math.max(oldestMs, Math.max(mFirstWallMs, completeSinceMs) + offsetMs);
        long startMs = Math.min(sinceMs, now.steadyMs());
        mArrivals.sort(Comparator.comparingLong(Arrival::wallMs));
        long stepMs = startMs;
        forecast.advance(stepMs);
        int count = 0;
        for (Arrival a : mArrivals) {
            long atMs = Math.min(a.wallMs() + offsetMs, now.steadyMs());
            if (atMs < startMs) {
                continue;
            }
            stepMs = advance(forecast, stepMs, atMs);
            forecast.recordArrival(a.service(), a.milliCores(), atMs);
            count++;
        }
        long lastMs = Math.min(mLastWallMs + offsetMs, now.steadyMs());
        advance(forecast, stepMs, lastMs);
        forecast.endReplay(Math.max(startMs, lastMs), now.steadyMs());
        mArrivals.clear();
        return count;
    }

    /** Advances a forecast in steps that end before a time; returns the last one. */
    private static long advance(BurstForecast forecast, long fromMs, long untilMs) {
        long stepMs = fromMs;
        while (stepMs + STEP_MS <= untilMs) {
            stepMs += STEP_MS;
            forecast.advance(stepMs);
        }
        return stepMs;
    }
}
