package org.foxtailplank.port;

import java.util.Set;
import org.foxtailplank.fleet.Resources;

/**
 * Description of a worker, as registered by the worker.
 *
 * @param id worker ID, which changes with each restart
 * @param service service that it belongs to
 * @param address address that it listens on, as {@code ip:port}
 * @param zone its availability zone
 * @param capacity resources that it offers
 * @param labels labels that a step may require or prefer, including the rack
 * @param rack rack of its VM
 * @param draining whether it is about to shut down
 */
public record WorkerInfo(
        String id,
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
}
