package org.foxtailplank.load.internal.fleet;

/**
 * What decisions cost at the size of a fleet, in processor time.
 *
 * @param waveP50Ms re-plan of a wave in one zone, median
 * @param waveP99Ms the same, 99th percentile
 * @param planMs plan of all steps of the wave over all zones, median
 * @param planSteps steps of that plan
 * @param bufferP50Ms one plan of the whole buffer, median
 * @param bufferP99Ms the same, 99th percentile
 * @param stateHeapMiB heap of the folded state
 * @param historyHeapMiB heap of the buffer's history
 */
public record CostResult(
        double waveP50Ms,
        double waveP99Ms,
        double planMs,
        int planSteps,
        double bufferP50Ms,
        double bufferP99Ms,
        double stateHeapMiB,
        double historyHeapMiB) {}
