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
     * Time in which the pool can do an amount of work, in milliseconds; {@link Long#MAX_VALUE} if
     * it has no capacity.
     *
     * @param ageMs time since the measurement, by which joining capacity is nearer
     */
    long timeForMs(long work, long ageMs) {
        long left = work;
        long rate = milliCores;
        long atMs = 0;
        for (Joining j : joining) {
            long joinsMs = Math.max(atMs, j.afterMs() - ageMs);
            long done = rate * (joinsMs - atMs);
            if (done >= left) {
                break;
            }
            left -= done;
            atMs = joinsMs;
            rate += j.milliCores();
        }
        return rate <= 0 ? Long.MAX_VALUE : atMs + left / rate;
    }

    /** Returns this capacity with further work that is expected to be done in time. */
    public QueueCapacity withAcceptedWork(long work) {
        return new QueueCapacity(
                service,
                measuredMs,
                milliCores,
                freeMilliCores,
                joining,
                inTimeWork + work,
                lateWork,
                excessWork,
                organisations);
    }

    /**
     * Capacity that joins the pool.
     *
     * @param afterMs time from the measurement until it is usable, in milliseconds
     */
    public record Joining(long afterMs, long milliCores) {}

    /**
     * What an organisation's cap leaves, or its entitled rate if that delays its jobs more.
     *
     * @param milliCores capacity that serves its next job and the work before it
     * @param waitingWork work before its next job: that of its own jobs under its cap, and that of
     *     all jobs of the queue if its next job exceeds its entitled rate
     */
    public record OrganisationCapacity(long milliCores, long waitingWork) {}
}
