package org.foxtailplank.platform;

import java.time.Instant;
import java.util.List;

/**
 * The workers that are powered on.
 *
 * @param asOf time of the usage reports, by the platform's clock
 * @param workers the workers
 */
public record WorkerList(Instant asOf, List<WorkerReport> workers) {

    public WorkerList {
        workers = List.copyOf(workers);
    }
}
