package org.foxtailplank.it.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/** Carries the bytes of one connection one way; runs on the connection's event loop. */
final class Pipe {

    private final FaultState mFaults;
    private final Direction mDirection;
    private final Channel mSink;
    private final Queue<ByteBuf> mHeld = new ArrayDeque<>();
    private long mSent;
    private long mDueNanos;
    private boolean mEnded;
    private boolean mSilent;

    Pipe(FaultState faults, Direction direction, Channel sink) {
        mFaults = faults;
        mDirection = direction;
        mSink = sink;
    }

    void take(ByteBuf bytes) {
        if (mSilent) {
            bytes.release();
            return;
        }
        mHeld.add(bytes);
        pump();
    }

    /** Discards everything from now on. */
    void silence() {
        mSilent = true;
        release();
    }

    /** The source closed; the sink closes once everything is through. */
    void end() {
        mEnded = true;
        pump();
    }

    /** Sends what may go now; what is held goes when the direction opens again. */
    void pump() {
        while (!mHeld.isEmpty() && !mFaults.isHeld(mDirection)) {
            send(mHeld.remove());
        }
        if (mEnded && mHeld.isEmpty()) {
            later(0, () -> mSink.close());
        }
    }

    void release() {
        mHeld.forEach(ByteBuf::release);
        mHeld.clear();
    }

    private void send(ByteBuf bytes) {
        long left = mFaults.truncateAfter(mDirection) - mSent;
        boolean cutShort = bytes.readableBytes() > left;
        ByteBuf sent = cutShort ? bytes.readSlice((int) Math.max(0, left)) : bytes;
        mSent += sent.readableBytes();
        later(
                sent.readableBytes(),
                () -> {
                    if (cutShort) {
                        mSink.writeAndFlush(sent).addListener(ChannelFutureListener.CLOSE);
                    } else {
                        mSink.writeAndFlush(sent);
                    }
                });
    }

    /**
     * Runs after the delay and at the rate that hold now, and never before what was sent earlier.
     */
    private void later(long bytes, Runnable task) {
        long now = System.nanoTime();
        mDueNanos = Math.max(mDueNanos, mFaults.arrivalNanos(mDirection, now, bytes));
        if (mDueNanos <= now) {
            task.run();
        } else {
            mSink.eventLoop().schedule(task, mDueNanos - now, TimeUnit.NANOSECONDS);
        }
    }
}
