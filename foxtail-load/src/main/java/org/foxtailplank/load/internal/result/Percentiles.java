package org.foxtailplank.load.internal.result;

import org.HdrHistogram.Histogram;

/**
 * Latencies in milliseconds.
 *
 * @param p50 median
 * @param p90 90th percentile
 * @param p99 99th percentile
 * @param p999 99.9th percentile
 * @param max largest
 */
public record Percentiles(double p50, double p90, double p99, double p999, double max) {

    private static final double MICROS_PER_MILLI = 1000.0;

    /** Reads them from a histogram of microseconds. */
    public static Percentiles ofMicros(Histogram micros) {
        return new Percentiles(
                at(micros, 50),
                at(micros, 90),
                at(micros, 99),
                at(micros, 99.9),
                micros.getMaxValue() / MICROS_PER_MILLI);
    }

    private static double at(Histogram micros, double percent) {
        return micros.getValueAtPercentile(percent) / MICROS_PER_MILLI;
    }
}
