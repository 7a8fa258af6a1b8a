package org.foxtailplank.node;

import org.foxtailplank.lease.ClockReading;

/** Source of monotonic and wall-clock time. */
public interface Clock {

    /** Returns the system clock. */
    static Clock system() {
        return new Clock() {
            private static final long NANOS_PER_MS = 1_000_000;

            @Override
            public long nowMs() {
                return System.nanoTime() / NANOS_PER_MS;
            }

            @Override
            public long wallMs() {
                return System.currentTimeMillis();
            }
        };
    }

    /** Returns the milliseconds of a monotonic clock. */
    long nowMs();

    /** Returns the milliseconds since the Unix epoch. */
    long wallMs();

    /** Returns the current time on both clocks. */
    default ClockReading moment() {
        return new ClockReading(nowMs(), wallMs());
    }
}
