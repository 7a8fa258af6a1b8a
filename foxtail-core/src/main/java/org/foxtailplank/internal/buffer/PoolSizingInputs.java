package org.foxtailplank.internal.buffer;

import org.foxtailplank.fleet.PoolSizing;

/**
 * Inputs for the desired number of VMs in a pool, except the size of its largest rack.
 *
 * @param demand estimated demand
 * @param growth rise within one wake
 * @param minAvailable availability budget left to this pool
 * @param configuredReserve configured reserve
 * @param surge share of the idle VMs woken for a wave; negative for no wave
 * @param available VMs that are on or could be woken
 * @param measured whether the estimate is based on a fresh measurement
 */
record PoolSizingInputs(
        double demand,
        double growth,
        int minAvailable,
        int configuredReserve,
        double surge,
        int available,
        boolean measured) {

    /**
     * Returns the desired number of VMs for a size of the largest rack, limited to the available
     * ones.
     *
     * <p>Growth and the loss of a rack share one reserve, because a rack loss during full growth is
     * rare and the budget holds without the growth.
     */
    int bounded(int largestRack) {
        return Math.min(available, base(largestRack) + surgeVms(largestRack));
    }

    /**
     * Returns the VMs required for demand and budget, not limited to the available ones.
     *
     * <p>Excludes growth, because a move takes longer than the wake that growth covers.
     */
    int required(int largestRack) {
        int forBudget = minAvailable > 0 ? minAvailable + largestRack : 0;
        return Math.max((int) Math.ceil(demand), forBudget);
    }

    /** Returns the desired number of VMs, not limited to the available ones. */
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

    PoolSizing toPoolSizing(PoolRacks racks) {
        int largest = racks.largestRackSize();
        return new PoolSizing(
                racks.onCount(),
                bounded(largest),
                available,
                Math.max(0, unbounded(largest) - available),
                demand,
                growth,
                minAvailable > 0 ? largest : configuredReserve,
                surgeVms(largest),
                measured);
    }
}
