package org.foxtailplank.entry;

import com.codahale.metrics.MetricRegistry;
import java.util.function.Predicate;
import org.foxtailplank.id.NodeId;
import org.foxtailplank.id.ServiceId;
import org.foxtailplank.settings.Settings;

/**
 * What an entry is made of.
 *
 * @param node the node, which the settings name
 * @param settings the configuration in force
 * @param directory knows the backend servers
 * @param keyed protects idempotency keys
 * @param metrics takes the entry's counters
 * @param inWave whether a wave step has an instance of a service away at the moment
 */
public record EntryParts(
        NodeId node,
        Settings settings,
        Directory directory,
        KeyedRequests keyed,
        MetricRegistry metrics,
        Predicate<ServiceId> inWave) {

    /** An entry that protects no keys, knows of no wave, and counts for itself. */
    public static EntryParts of(NodeId node, Settings settings, Directory directory) {
        return new EntryParts(
                node,
                settings,
                directory,
                EntryServer.refusingKeys(),
                new MetricRegistry(),
                service -> false);
    }

    /** The same with keys protected. */
    public EntryParts withKeys(KeyedRequests k) {
        return new EntryParts(node, settings, directory, k, metrics, inWave);
    }

    /** The same with counters taken by a registry. */
    public EntryParts withMetrics(MetricRegistry m) {
        return new EntryParts(node, settings, directory, keyed, m, inWave);
    }

    /** The same with knowledge of waves. */
    public EntryParts withWaves(Predicate<ServiceId> waves) {
        return new EntryParts(node, settings, directory, keyed, metrics, waves);
    }
}
