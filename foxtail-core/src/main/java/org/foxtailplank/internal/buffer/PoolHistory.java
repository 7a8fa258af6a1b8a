package org.foxtailplank.internal.buffer;

import java.util.List;

/**
 * Planning history of one pool.
 *
 * @param demand estimated demand
 * @param surplus powered-on VMs beyond the desired count
 * @param shortage required VMs beyond the available ones
 * @param spare available VMs beyond the desired count
 */
public record PoolHistory(
        DemandEstimate demand,
        SustainedCount surplus,
        SustainedCount shortage,
        SustainedCount spare) {

    static PoolHistory none() {
        return new PoolHistory(
                new DemandEstimate(List.of(), 0, 0, 1),
                SustainedCount.none(),
                SustainedCount.none(),
                SustainedCount.none());
    }

    /** Returns the history after a sleep, which restarts the surplus. */
    PoolHistory afterSleep() {
        return new PoolHistory(demand, SustainedCount.none(), shortage, spare);
    }

    /** Returns the history after a move, which restarts the shortage and the spare count. */
    PoolHistory afterMove() {
        return new PoolHistory(demand, surplus, SustainedCount.none(), SustainedCount.none());
    }
}
