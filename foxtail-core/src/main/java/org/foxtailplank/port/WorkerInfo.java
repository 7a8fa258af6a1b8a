package org.foxtailplank.port;

import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.WorkerIncarnation;

/**
 * Description of a worker, as registered by the worker.
 *
 * @param incarnation the incarnation that registered it
 * @param service service that it belongs to
 * @param address address that it listens on, as {@code ip:port}
 * @param zone its availability zone
 * @param capacity resources that it offers
 * @param labels labels that a step may require or prefer, including the rack
 * @param rack rack of its VM
 * @param draining whether it is about to shut down
 */
public record WorkerInfo(
        WorkerIncarnation incarnation,
        String service,
        String address,
        String zone,
        Resources capacity,
        Set<String> labels,
        String rack,
        boolean draining) {
    public WorkerInfo {
        labels = Set.copyOf(labels);
    }

    /** ID of the worker. */
    public String id() {
        return incarnation.id();
    }
}
