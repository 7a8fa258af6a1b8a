package org.foxtailplank.http;

import java.util.function.LongSupplier;

/** The share of a large body in {@link BodyMemory}, and the progress of its reception. */
final class BodyPlace {
    /** Time without progress after which a large body gives way to one that waits. */
    private static final long STALLED_MS = 500;

    /** Slowest progress of a large body while another one waits, in bytes per millisecond. */
    private static final long MIN_BYTES_PER_MS = 16;

    private static final long MIN_RATE_AFTER_MS = 2000;

    private final BodyMemory mMemory;
    private final LongSupplier mReceived;
    private int mBytes;
    private BodyMemory.Waiter mWaiter;
    private long mSinceMs;
    private long mReceivedBefore;
    private long mProgressMs;
    private long mProgressBytes;

    /** Creates a place; {@code received} tells the bytes that the connection has received. */
    BodyPlace(BodyMemory memory, LongSupplier received) {
        mMemory = memory;
        mReceived = received;
    }

    boolean isTaken() {
        return mBytes > 0;
    }

    boolean isAwaited() {
        return mWaiter != null;
    }

    /**
     * Takes memory, now or once it is free.
     *
     * @param granted called if the memory is taken later
     */
    void take(int bytes, Runnable granted) {
        if (mMemory.take(bytes)) {
            markTaken(bytes);
        } else {
            mWaiter =
                    mMemory.takeLater(
                            bytes,
                            () -> {
                                mWaiter = null;
                                markTaken(bytes);
                                granted.run();
                            });
        }
    }

    private void markTaken(int bytes) {
        mBytes = bytes;
        mSinceMs = MonotonicClock.nowMs();
        mReceivedBefore = mReceived.getAsLong();
        restartProgress(mSinceMs);
    }

    /** Begins to wait for progress anew, after a time in which nothing was read. */
    void restartProgress(long nowMs) {
        mProgressMs = nowMs;
        mProgressBytes = mReceived.getAsLong();
    }

    /** Whether the body, which is being read, makes too little progress. */
    boolean isSlow(long nowMs) {
        if (mBytes == 0) {
            return false;
        }
        if (mReceived.getAsLong() != mProgressBytes) {
            restartProgress(nowMs);
        }
        long heldMs = nowMs - mSinceMs;
        long received = mReceived.getAsLong() - mReceivedBefore;
        return isStalled(nowMs - mProgressMs)
                || heldMs > MIN_RATE_AFTER_MS && received < heldMs * MIN_BYTES_PER_MS;
    }

    /** Whether a time without progress is too long while another body waits. */
    static boolean isStalled(long ms) {
        return ms > STALLED_MS;
    }

    /** Leaves the memory to another holder, and returns its size in bytes. */
    int handOver() {
        int bytes = mBytes;
        mBytes = 0;
        return bytes;
    }

    /** Gives up the memory, or the wait for it. */
    void release() {
        if (mWaiter != null) {
            mMemory.giveUp(mWaiter);
            mWaiter = null;
        }
        if (mBytes > 0) {
            mMemory.release(handOver());
        }
    }
}
