package org.foxtailplank.http;

import java.util.concurrent.TimeUnit;

/** The monotonic clock of clients and servers. */
final class MonotonicClock {
    private MonotonicClock() {}

    /** Returns the time since an arbitrary moment, in milliseconds. */
    static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
