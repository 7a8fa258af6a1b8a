package org.foxtailplank.internal.buffer;

import java.util.List;

/**
 * What is remembered of one pool.
 *
 * @param demand estimate of its demand
 * @param surplus VMs on beyond what is wanted
 * @param shortage VMs wanted beyond those it has
 * @param spare VMs it has beyond what it wants
 */
public record PoolHistory(
        DemandEstimate demand, LastingCount surplus, LastingCount shortage, LastingCount spare) {

    static PoolHistory none() {
        return new PoolHistory(
                new DemandEstimate(List.of(), 0, 0, 1),
                LastingCount.none(),
                LastingCount.none(),
                LastingCount.none());
    }

    /** A surplus that was acted on begins anew. */
    PoolHistory afterSleep() {
        return new PoolHistory(demand, LastingCount.none(), shortage, spare);
    }

    /** A reason for a move that was acted on has to last anew. */
    PoolHistory afterMove() {
        return new PoolHistory(demand, surplus, LastingCount.none(), LastingCount.none());
    }
}
