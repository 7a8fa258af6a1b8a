package org.foxtailplank.internal.buffer;

import org.foxtailplank.fleet.PoolWant;

/**
 * What the number of VMs wanted in a pool is made of, but for the racks that are on.
 *
 * @param demand estimated demand
 * @param growth rise within one wake
 * @param minAvailable availability budget left to this pool
 * @param configuredReserve spares that operators ask for
 * @param surge share of the idle VMs woken for a wave; empty when below 0
 * @param available VMs that could be on
 * @param measured whether the estimate rests on a fresh measurement
 */
record WantedCount(
        double demand,
        double growth,
        int minAvailable,
        int configuredReserve,
        double surge,
        int available,
        boolean measured) {

    /**
     * VMs wanted while the largest rack holds so many.
     *
     * <p>Growth and the loss of a rack share their spares: a rack is lost about weekly, and the
     * budget itself holds without the growth.
     */
    int given(int largestRack) {
        return Math.min(available, base(largestRack) + surgeVms(largestRack));
    }

    /**
     * VMs without which demand or budget would not be met, however many there are.
     *
     * <p>Growth is left out: a move takes longer than what it would cover.
     */
    int firm(int largestRack) {
        int forBudget = minAvailable > 0 ? minAvailable + largestRack : 0;
        return Math.max((int) Math.ceil(demand), forBudget);
    }

    /** VMs wanted without regard to how many there are. */
    int unbounded(int largestRack) {
        return base(largestRack);
    }

    private int base(int largestRack) {
        int spares = Math.max((int) Math.ceil(growth), configuredReserve);
        if (minAvailable > 0) {
            spares = Math.max(spares, largestRack);
        }
        int forDemand = (int) Math.ceil(demand) + spares;
        int forBudget = minAvailable > 0 ? minAvailable + largestRack : 0;
        return Math.max(forDemand, forBudget);
    }

    private int surgeVms(int largestRack) {
        if (surge < 0) {
            return 0;
        }
        int idle = Math.max(0, available - base(largestRack));
        return Math.min(idle, Math.max(1, (int) Math.ceil(surge * idle)));
    }

    PoolWant want(PoolRacks racks) {
        int largest = racks.largest();
        return new PoolWant(
                racks.on(),
                given(largest),
                available,
                Math.max(0, unbounded(largest) - available),
                demand,
                growth,
                minAvailable > 0 ? largest : configuredReserve,
                surgeVms(largest),
                measured);
    }
}
