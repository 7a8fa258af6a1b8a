package org.foxtailplank.controller;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailplank.platform.burn.BurnLog;
import org.foxtailplank.process.Health;

/**
 * What the administration address answers about the process itself.
 *
 * @param health how the process is
 * @param metrics its metrics
 * @param burn service-level burn over all nodes, where the process follows it
 */
public record NodePages(Supplier<Health> health, MetricRegistry metrics, Optional<BurnLog> burn) {

    /** Pages of a process that is healthy while it runs and counts nothing. */
    public static NodePages plain() {
        return new NodePages(
                () -> new Health(Health.SERVING, Map.of()), new MetricRegistry(), Optional.empty());
    }
}
