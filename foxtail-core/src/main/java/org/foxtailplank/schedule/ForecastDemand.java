package org.foxtailplank.schedule;

import java.util.Optional;

/**
 * Moves VMs by forecasts of turns instead of the present rate of arrivals.
 *
 * <p>Serves queues that take turns. Before a turn its pool gets VMs in advance, and pools keep some
 * of their spare ones for it. During a turn the rate of arrivals, extrapolated, requests too few
 * VMs as it rises and too many as it falls; the latter are missing in the next queue's pool.
 */
final class ForecastDemand {
    /**
     * Most VMs that a pool gets for a turn that has not shown, which bounds the cost of a wrong
     * forecast. With the factor that {@link PoolBalancer} applies to demand they are at most ten.
     */
    private static final double MAX_VMS = 9;

    /** Most spare VMs that a pool keeps for the turn of another one that has not shown. */
    private static final int MAX_HELD_VMS = 10;

    /**
     * Time before a turn's beginning from which on it counts, in milliseconds. A turn that doesn't
     * show is withdrawn half a second after its beginning, so that a wrong forecast counts for two
     * seconds.
     */
    private static final long LEAD_MS = 1500;

    private final Optional<BurstForecast> mForecast;

    /** Creates the demand by a forecast; without one, the rate of arrivals is extrapolated. */
    ForecastDemand(Optional<BurstForecast> forecast) {
        mForecast = forecast;
    }

    /** Learns from the arrivals until now. */
    void advance(long nowMs) {
        mForecast.ifPresent(f -> f.advance(nowMs));
    }

    /**
     * Demand of the jobs that arrive before a VM could join, in thousandths of a core.
     *
     * @param extrapolated this demand if the present rate of arrivals continues
     * @param vmMilliCores thousandths of a core of a VM
     */
    double arriving(String service, double extrapolated, long vmMilliCores, long nowMs) {
        Optional<ExpectedTurn> turn = mForecast.flatMap(f -> f.turn(service));
        if (turn.isEmpty() || nowMs < turn.get().beginMs() - LEAD_MS) {
            return extrapolated;
        }
        double expected =
                mForecast.get().expectedMilliCores(service, nowMs + BurstForecast.WINDOW_MS);
        if (turn.get().isShown()) {
            return expected;
        }
        double most = extrapolated + MAX_VMS * vmMilliCores;
        return Math.max(extrapolated, Math.min(expected, most));
    }

    /** Spare VMs that a pool keeps now; released, they would have to come back for a turn. */
    int heldVms(long nowMs) {
        boolean due = mForecast.isPresent() && mForecast.get().isTurnDue(nowMs + LEAD_MS);
        return due ? MAX_HELD_VMS : 0;
    }
}
