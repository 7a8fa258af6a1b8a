package org.foxtailplank.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Predicate;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.settings.Settings;

/**
 * The dependencies of an entry.
 *
 * @param node name of the node in the settings
 * @param settings configuration in force
 * @param directory directory of backend servers
 * @param keyedRequestHandler handler of requests with idempotency keys
 * @param metrics registry for the entry's counters
 * @param inWave whether a maintenance wave has taken an instance of a service out of use
 */
public record EntryContext(
        NodeId node,
        Settings settings,
        Directory directory,
        KeyedRequestHandler keyedRequestHandler,
        MetricRegistry metrics,
        Predicate<ServiceId> inWave) {

    /** Returns dependencies without key protection and waves, and with a registry of their own. */
    public static EntryContext of(NodeId node, Settings settings, Directory directory) {
        return new EntryContext(
                node,
                settings,
                directory,
                EntryServer.refusingKeys(),
                new MetricRegistry(),
                service -> false);
    }

    /** Returns a copy with a handler of keyed requests. */
    public EntryContext withKeys(KeyedRequestHandler handler) {
        return new EntryContext(node, settings, directory, handler, metrics, inWave);
    }

    /** Returns a copy with a metric registry. */
    public EntryContext withMetrics(MetricRegistry registry) {
        return new EntryContext(node, settings, directory, keyedRequestHandler, registry, inWave);
    }

    /** Returns a copy with a test for services in a maintenance wave. */
    public EntryContext withWaves(Predicate<ServiceId> waves) {
        return new EntryContext(node, settings, directory, keyedRequestHandler, metrics, waves);
    }
}
