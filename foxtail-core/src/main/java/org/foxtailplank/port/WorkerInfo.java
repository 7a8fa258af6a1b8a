package org.foxtailplank.port;

import java.util.Set;
import org.foxtailplank.fleet.Resources;

/**
 * What a worker says of itself.
 *
 * @param id its life; a worker that starts again has another one
 * @param service service that it serves
 * @param address where it listens, as {@code ip:port}
 * @param zone its availability zone
 * @param capacity what it offers
 * @param labels labels that a step may require or prefer, its rack among them
 * @param rack rack that it stands in
 * @param draining whether it is about to leave
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
