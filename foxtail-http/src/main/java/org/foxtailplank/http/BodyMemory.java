package org.foxtailplank.http;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Memory for the large request bodies of all servers on one event loop. A body gets all the memory
 * that it may need at once, so that no two wait for each other; small needs are met first.
 */
public final class BodyMemory {
    /** Memory for large bodies by default, in bytes. */
    public static final int DEFAULT_BYTES = 16 << 20;

    private final long mCapacity;
    private final PriorityQueue<Waiter> mWaiters =
            new PriorityQueue<>(
                    Comparator.comparingInt(Waiter::bytes).thenComparingLong(Waiter::number));
    private long mUsed;
    private long mNextNumber;

    /** A body that waits for memory; {@code granted} is called once it has it. */
    record Waiter(int bytes, long number, Runnable granted) {}

    /** Creates a memory of this many bytes; a larger body gets it if nothing else is in use. */
    public BodyMemory(long capacity) {
        if (capacity < 0) {
            throw new IllegalArgumentException("capacity must not be negative");
        }
        mCapacity = capacity;
    }

    /** Creates a memory without a limit, for servers whose clients are known. */
    public static BodyMemory unlimited() {
        return new BodyMemory(Long.MAX_VALUE);
    }

    private boolean fits(int bytes) {
        return mUsed == 0 || bytes <= mCapacity - mUsed;
    }

    /** Takes memory if it is free. */
    boolean take(int bytes) {
        if (!fits(bytes)) {
            return false;
        }
        mUsed += bytes;
        return true;
    }

    /** Takes memory once it is free. */
    Waiter takeLater(int bytes, Runnable granted) {
        Waiter waiter = new Waiter(bytes, mNextNumber++, granted);
        mWaiters.add(waiter);
        return waiter;
    }

    void giveUp(Waiter waiter) {
        mWaiters.remove(waiter);
    }

    void release(int bytes) {
        mUsed -= bytes;
        while (!mWaiters.isEmpty() && fits(mWaiters.peek().bytes())) {
            Waiter next = mWaiters.poll();
            mUsed += next.bytes();
            next.granted().run();
        }
    }

    boolean isAwaited() {
        return !mWaiters.isEmpty();
    }
}
