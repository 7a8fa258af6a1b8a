package org.foxtailplank.admission;

import java.util.List;
import java.util.Map;

/**
 * Capacity and waiting work of the pool that serves a queue, as the owner measured them.
 *
 * <p>Capacity is in thousandths of a core that batch tasks can use, where memory limits it too;
 * work is in milliseconds times thousandths of a core.
 *
 * @param service service of the pool
 * @param measuredMs time of the measurement on the local monotonic clock
 * @param milliCores capacity of the workers in the pool
 * @param freeMilliCores part of it that no task holds
 * @param joining capacity of VMs on their way, in the order in which they join
 * @param inTimeWork remaining work of jobs that are expected to meet their objectives
 * @param lateWork remaining work of late jobs
 * @param excessWork remaining work of jobs beyond their organisations' rates
 * @param organisations organisations whose caps bind, by name
 */
public record QueueCapacity(
        String service,
        long measuredMs,
        long milliCores,
        long freeMilliCores,
        List<Joining> joining,
        long inTimeWork,
        long lateWork,
        long excessWork,
        Map<String, OrganisationCapacity> organisations) {
    public QueueCapacity {
        joining = List.copyOf(joining);
        organisations = Map.copyOf(organisations);
    }

    /**
     * Capacity that joins the pool.
     *
     * @param afterMs time from the measurement until it is usable, in milliseconds
     */
    public record Joining(long afterMs, long milliCores) {}

    /**
     * What an organisation's cap leaves.
     *
     * @param milliCores capacity that the cap allows its batch tasks
     * @param waitingWork remaining work of its jobs
     */
    public record OrganisationCapacity(long milliCores, long waitingWork) {}
}
