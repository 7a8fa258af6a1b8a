package org.foxtailplank.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Counters and histograms of a node, with their text format. */
public final class NodeMetrics {
    private final MetricRegistry mRegistry = new MetricRegistry();

    /** Returns the counter of this name, which is created if absent. */
    public Counter counter(String name) {
        return mRegistry.counter(name);
    }

    /** Returns the latency histogram of this name, in milliseconds; created if absent. */
    public Histogram latency(String name) {
        return mRegistry.histogram(name);
    }

    /** Formats all metrics, one value per line. */
    public String text() {
        StringBuilder out = new StringBuilder();
        for (Map.Entry<String, Counter> e : mRegistry.getCounters().entrySet()) {
            appendLine(out, e.getKey(), "", e.getValue().getCount());
        }
        for (Map.Entry<String, Histogram> e : mRegistry.getHistograms().entrySet()) {
            Snapshot s = e.getValue().getSnapshot();
            appendLine(out, e.getKey(), "_count", e.getValue().getCount());
            appendLine(out, e.getKey(), "_p50_ms", s.getMedian());
            appendLine(out, e.getKey(), "_p99_ms", s.get99thPercentile());
            appendLine(out, e.getKey(), "_max_ms", s.getMax());
        }
        return out.toString();
    }

    private static void appendLine(StringBuilder out, String name, String suffix, double value) {
        out.append("foxtail_").append(name).append(suffix).append(' ').append(value).append('\n');
    }
}
