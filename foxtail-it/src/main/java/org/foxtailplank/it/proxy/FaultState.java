package org.foxtailplank.it.proxy;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;

/** The faults of one proxy; shared by its connections. */
final class FaultState {

    private final Map<Direction, Boolean> mHeld = new EnumMap<>(Direction.class);
    private final Map<Direction, Long> mTruncateAfter = new EnumMap<>(Direction.class);
    private Duration mDelay = Duration.ZERO;
    private double mBytesPerNano = Double.POSITIVE_INFINITY;
    private final Map<Direction, Long> mFreeNanos = new EnumMap<>(Direction.class);

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

    synchronized void delay(Duration delay) {
        mDelay = delay;
    }

    /** When so many bytes have arrived that are sent now; all connections share the rate. */
    synchronized long arrivalNanos(Direction direction, long nowNanos, long bytes) {
        long free = Math.max(nowNanos, mFreeNanos.getOrDefault(direction, nowNanos));
        long sent = free + (long) (bytes / mBytesPerNano);
        mFreeNanos.put(direction, sent);
        return sent + mDelay.toNanos();
    }

    synchronized void rate(double bytesPerS) {
        mBytesPerNano = bytesPerS / Duration.ofSeconds(1).toNanos();
    }

    synchronized void heal() {
        mBytesPerNano = Double.POSITIVE_INFINITY;
        mHeld.clear();
        mTruncateAfter.clear();
        mDelay = Duration.ZERO;
    }
}
