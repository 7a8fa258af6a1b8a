package org.foxtailplank.internal.routing;

/**
 * Mean time of attempts, of one instance or of all instances of a service; newer ones count more.
 */
final class MeanLatency {

    private static final double WEIGHT = 0.1;

    private double mNanos;

    boolean known() {
        return mNanos > 0;
    }

    double nanos() {
        return mNanos;
    }

    void add(long nanos) {
        mNanos += (nanos - mNanos) * (known() ? WEIGHT : 1);
    }
}
