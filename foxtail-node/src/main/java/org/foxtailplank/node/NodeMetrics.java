package org.foxtailplank.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;

/** Counters and histograms of a node, and their text. */
public final class NodeMetrics {
    private final MetricRegistry mRegistry = new MetricRegistry();

    /** A counter of this name. */
    public Counter counter(String name) {
        return mRegistry.counter(name);
    }

    /** A histogram of milliseconds. */
    public Histogram latency(String name) {
        return mRegistry.histogram(name);
    }

    /** One line a value. */
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

    private static void appendLine(StringBuilder out, String name, String part, double value) {
        out.append("foxtail_").append(name).append(part).append(' ').append(value).append('\n');
    }
}
