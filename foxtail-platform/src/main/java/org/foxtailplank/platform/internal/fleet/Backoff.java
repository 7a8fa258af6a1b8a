package org.foxtailplank.platform.internal.fleet;

import java.util.concurrent.ThreadLocalRandom;

/** Pauses that double up to a limit, each with jitter, so that many nodes don't come at once. */
final class Backoff {
    private static final long FIRST_MILLIS = 50;
    private static final long MAX_MILLIS = 2_000;

    private long mMillis = FIRST_MILLIS;

    /** The next pause in milliseconds. */
    long next() {
        long pause = mMillis / 2 + ThreadLocalRandom.current().nextLong(mMillis);
        mMillis = Math.min(MAX_MILLIS, mMillis * 2);
        return pause;
    }

    void reset() {
        mMillis = FIRST_MILLIS;
    }
}
