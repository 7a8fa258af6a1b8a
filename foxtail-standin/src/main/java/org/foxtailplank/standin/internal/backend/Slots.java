package org.foxtailplank.standin.internal.backend;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailplank.standin.internal.fault.Timers;

/** Runs so many requests at once, the others in order of arrival. */
public final class Slots {

    private final int mSlots;
    private final long mMeanNs;
    private final Random mRandom;
    private final Queue<Waiting> mQueue = new ArrayDeque<>();
    private int mRunning;
    private CompletableFuture<Void> mIdle = CompletableFuture.completedFuture(null);

    /** Slots that each take the given time on average. */
    public Slots(int slots, Duration serviceTime, long seed) {
        mSlots = slots;
        mMeanNs = serviceTime.toNanos();
        mRandom = new Random(seed);
    }

    /** Requests that run or wait. */
    public synchronized int inFlight() {
        return mRunning + mQueue.size();
    }

    /** Completes once nothing runs or waits. */
    public synchronized CompletionStage<Void> idle() {
        return mIdle;
    }

    /** Runs one request; calls {@code onStart} when it gets a slot. */
    public CompletionStage<Void> run(Runnable onStart) {
        Waiting waiting = new Waiting(onStart, new CompletableFuture<>());
        synchronized (this) {
            if (inFlight() == 0) {
                mIdle = new CompletableFuture<>();
            }
            mQueue.add(waiting);
        }
        next();
        return waiting.done();
    }

    private void next() {
        Waiting started;
        long ns;
        synchronized (this) {
            if (mRunning >= mSlots || mQueue.isEmpty()) {
                return;
            }
            mRunning++;
            started = mQueue.remove();
            ns = (long) (mMeanNs * (0.5 + mRandom.nextDouble()));
        }
        started.onStart().run();
        Timers.afterNanos(ns).thenRun(() -> end(started));
    }

    private void end(Waiting ended) {
        CompletableFuture<Void> idle = new CompletableFuture<>();
        synchronized (this) {
            mRunning--;
            if (inFlight() == 0) {
                idle = mIdle;
            }
        }
        ended.done().complete(null);
        idle.complete(null);
        next();
    }

    private record Waiting(Runnable onStart, CompletableFuture<Void> done) {}
}
