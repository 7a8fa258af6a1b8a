package org.foxtailplank.schedule;

/**
 * How busy a service is.
 *
 * @param service its name
 * @param workers workers that may be given tasks
 * @param cores cores that they offer
 * @param standingCores cores that standing tasks have taken
 * @param batchCores cores that other tasks have taken
 * @param jobs jobs that have not ended
 * @param waitingTasks tasks whose turn has come and that wait for a worker
 * @param waitingStanding standing ones among them
 */
public record PoolLoad(
        String service,
        int workers,
        long cores,
        long standingCores,
        long batchCores,
        int jobs,
        int waitingTasks,
        int waitingStanding) {}
