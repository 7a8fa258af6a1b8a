package org.foxtailplank.process;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;

/** Converts a metric registry to JSON; times are in milliseconds, rates per second. */
public final class MetricsJson {
    private static final double MILLIS_PER_NANO = 1.0 / TimeUnit.MILLISECONDS.toNanos(1);

    private MetricsJson() {}

    /** Returns all metrics by type and name. */
    public static ObjectNode of(MetricRegistry registry) {
        ObjectNode all = Json.object();
        ObjectNode gauges = all.putObject("gauges");
        registry.getGauges().forEach((n, g) -> gauges.set(n, Json.tree(g.getValue())));
        ObjectNode counters = all.putObject("counters");
        registry.getCounters().forEach((n, c) -> counters.put(n, c.getCount()));
        ObjectNode meters = all.putObject("meters");
        registry.getMeters().forEach((n, m) -> meter(meters.putObject(n), m));
        ObjectNode histograms = all.putObject("histograms");
        registry.getHistograms().forEach((n, h) -> histogram(histograms.putObject(n), h));
        ObjectNode timers = all.putObject("timers");
        registry.getTimers().forEach((n, t) -> timer(timers.putObject(n), t));
        return all;
    }

    private static void meter(ObjectNode node, Meter meter) {
        node.put("count", meter.getCount());
        node.put("rate1m", meter.getOneMinuteRate());
        node.put("rate15m", meter.getFifteenMinuteRate());
    }

    private static void histogram(ObjectNode node, Histogram histogram) {
        node.put("count", histogram.getCount());
        snapshot(node, histogram.getSnapshot(), 1);
    }

    private static void timer(ObjectNode node, Timer timer) {
        node.put("count", timer.getCount());
        node.put("rate1m", timer.getOneMinuteRate());
        snapshot(node, timer.getSnapshot(), MILLIS_PER_NANO);
    }

    private static void snapshot(ObjectNode node, Snapshot snapshot, double scale) {
        node.put("p50", snapshot.getMedian() * scale);
        node.put("p99", snapshot.get99thPercentile() * scale);
        node.put("p999", snapshot.get999thPercentile() * scale);
        node.put("max", snapshot.getMax() * scale);
    }
}
