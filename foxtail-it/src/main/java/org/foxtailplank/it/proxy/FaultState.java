package org.foxtailplank.it.proxy;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** The faults of one proxy; shared by its connections. */
final class FaultState {

    private final Map<Direction, Boolean> mHeld = new EnumMap<>(Direction.class);
    private final Map<Direction, Long> mTruncateAfter = new EnumMap<>(Direction.class);
    private Duration mDelay = Duration.ZERO;

    synchronized boolean isHeld(Direction direction) {
        return mHeld.getOrDefault(direction, false);
    }

    synchronized void hold(Direction direction) {
        mHeld.put(direction, true);
    }

    synchronized long truncateAfter(Direction direction) {
        return mTruncateAfter.getOrDefault(direction, Long.MAX_VALUE);
    }

    synchronized void truncate(Direction direction, long bytes) {
        mTruncateAfter.put(direction, bytes);
    }

    synchronized long delayNanos() {
        return mDelay.toNanos();
    }

    synchronized void delay(Duration delay) {
        mDelay = delay;
    }

    synchronized void heal() {
        mHeld.clear();
        mTruncateAfter.clear();
        mDelay = Duration.ZERO;
    }
}
