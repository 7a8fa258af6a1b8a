package org.foxtailplank.schedule;

import java.util.List;
import org.foxtailplank.admission.QueueCapacity.Joining;

/**
 * Capacity of a pool for batch tasks.
 *
 * @param milliCores capacity of its workers, in thousandths of a core
 * @param joining capacity of the VMs on their way to it
 */
record PoolCapacity(long milliCores, List<Joining> joining) {
    PoolCapacity {
        joining = List.copyOf(joining);
    }

    /** Creates the capacity of a pool that gets no VMs. */
    static PoolCapacity of(long milliCores) {
        return new PoolCapacity(milliCores, List.of());
    }

    /**
     * Work that joining VMs, which are idle then, can start by a time.
     *
     * @param slackMs time until then, in milliseconds
     * @param lengthMs length of what may start last, in milliseconds
     */
    double workOfJoining(long slackMs, long lengthMs) {
        double work = 0;
        for (Joining j : joining) {
            if (j.afterMs() <= slackMs) {
                work += (double) j.milliCores() * (slackMs - j.afterMs() + lengthMs);
            }
        }
        return work;
    }
}
