package org.foxtailplank.schedule;

import org.foxtailplank.fleet.Resources;

/**
 * Expresses resources as capacity for the batch tasks of a service, in thousandths of a core.
 *
 * <p>Standing tasks may fill the memory of a worker and leave cores that no batch task can use.
 * Cores alone would count these as capacity, so that pools would request too few VMs and more jobs
 * would be selected than can be done in time. The capacity is the number of typical tasks that the
 * scarcest of cores, memory and accelerators admits, times the cores of such a task. Where cores
 * are scarce, or memory is hardly scarcer, it is the cores.
 *
 * @param demand total demand of the tasks, of which only the proportions count
 * @param needsAccelerators whether each of the tasks needs accelerators
 */
record BatchCapacity(Resources demand, boolean needsAccelerators) {
    /**
     * Share of the cores up to which memory counts as scarce. Smaller differences are within the
     * variation of the mean demand while few tasks wait.
     */
    private static final double SCARCE_SHARE = 0.5;

    /** Capacity for tasks of unknown demand: the cores. */
    static final BatchCapacity CORES = new BatchCapacity(Resources.NONE, false);

    /** Capacity that these resources have for such tasks, in thousandths of a core. */
    long milliCores(Resources left) {
        long cores = left.milliProcessors();
        if (demand.milliProcessors() == 0) {
            return cores;
        }
        long byMemory = limit(left.memoryBytes(), demand.memoryBytes());
        long capacity = byMemory < SCARCE_SHARE * cores ? byMemory : cores;
        // A worker without accelerators still serves the tasks that do without them.
        boolean acceleratorsCount = needsAccelerators || left.accelerators() > 0;
        return acceleratorsCount
                ? Math.min(capacity, limit(left.accelerators(), demand.accelerators()))
                : capacity;
    }

    /** Cores of the tasks for which an amount of one resource suffices, in thousandths. */
    private long limit(long amount, long demanded) {
        return demanded == 0
                ? Long.MAX_VALUE
                : (long) ((double) Math.max(0, amount) * demand.milliProcessors() / demanded);
    }
}
