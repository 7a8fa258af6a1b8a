package org.foxtailplank.internal.routing;

/** Exponentially weighted moving average of attempt latencies. */
final class MeanLatency {

    private static final double WEIGHT = 0.1;

    private double mNanos;

    boolean hasSamples() {
        return mNanos > 0;
    }

    double nanos() {
        return mNanos;
    }

    void add(long nanos) {
        mNanos += (nanos - mNanos) * (hasSamples() ? WEIGHT : 1);
    }
}
