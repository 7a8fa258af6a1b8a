package org.foxtailplank.schedule;

/**
 * Load of a service.
 *
 * @param service name of the service
 * @param workers workers that may be given tasks
 * @param cores cores of all workers
 * @param standingCores cores reserved by standing tasks
 * @param batchCores cores reserved by batch tasks
 * @param plannedCores cores reserved by starts whose records are not stored yet
 * @param batchCapacity cores that standing tasks leave for batch tasks, as far as these can use
 *     them with the memory and accelerators left
 * @param jobs runs that are due and not done
 * @param waitingTasks tasks that wait for a worker and whose dependencies are done
 * @param waitingStanding standing tasks among them
 * @param vms VMs of all workers
 * @param evacuating workers that are being emptied for a move or a reboot of their VMs
 * @param usedVms VMs that would hold what runs if it filled them
 */
public record PoolLoad(
        String service,
        int workers,
        long cores,
        long standingCores,
        long batchCores,
        long plannedCores,
        long batchCapacity,
        int jobs,
        int waitingTasks,
        int waitingStanding,
        int vms,
        int evacuating,
        double usedVms) {}
