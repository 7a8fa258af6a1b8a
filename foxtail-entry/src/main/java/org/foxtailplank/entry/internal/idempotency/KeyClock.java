package org.foxtailplank.entry.internal.idempotency;

import java.time.Instant;

/** Wall time that is never set back: it is taken once, and goes on with the monotonic clock. */
final class KeyClock {

    private final Instant mStart;
    private final long mStartNanos;

    KeyClock(Instant start, long startNanos) {
        mStart = start;
        mStartNanos = startNanos;
    }

    static KeyClock system() {
        return new KeyClock(Instant.now(), System.nanoTime());
    }

    Instant now() {
        return at(System.nanoTime());
    }

    /** The time of a reading of {@link System#nanoTime}. */
    Instant at(long nanos) {
        return mStart.plusNanos(nanos - mStartNanos);
    }
}
