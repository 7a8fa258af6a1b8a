package org.foxtailplank.entry.internal.idempotency;

import java.time.Instant;

/** A wall clock that never goes back: it adds monotonic time to the wall time of its start. */
final class MonotonicWallClock {

    private final Instant mStart;
    private final long mStartNanos;

    MonotonicWallClock(Instant start, long startNanos) {
        mStart = start;
        mStartNanos = startNanos;
    }

    static MonotonicWallClock system() {
        return new MonotonicWallClock(Instant.now(), System.nanoTime());
    }

    Instant now() {
        return at(System.nanoTime());
    }

    /** Converts a value of {@link System#nanoTime} to wall time. */
    Instant at(long nanos) {
        return mStart.plusNanos(nanos - mStartNanos);
    }
}
