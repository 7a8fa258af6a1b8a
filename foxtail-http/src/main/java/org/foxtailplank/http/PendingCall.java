package org.foxtailplank.http;

import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A call that waits for a connection or for its response. */
final class PendingCall {
    final HttpCall mCall;
    Future<?> mTimer;
    ClientConnection mConnection;

    private final BooleanSupplier mMaySend;
    private final long mLateMs;
    private final long mMaxMs;
    private final Consumer<HttpResult> mCallback;
    private boolean mFinished;
    private boolean mOverdue;
    private long mTimeoutMs;
    private long mStartMs;
    private long mProgressMs;

    /**
     * Creates a call.
     *
     * @param lateMs how long after the timeout a response is still accepted, in milliseconds
     * @param maxMs longest duration while the response keeps arriving, in milliseconds; 0 if the
     *     timeout holds for the whole call
     */
    PendingCall(
            HttpCall call,
            BooleanSupplier maySend,
            long lateMs,
            long maxMs,
            Consumer<HttpResult> callback) {
        mCall = call;
        mMaySend = maySend;
        mLateMs = lateMs;
        mMaxMs = maxMs;
        mCallback = callback;
    }

    /** Starts the timeout. */
    void start(long timeoutMs, long nowMs) {
        mTimeoutMs = timeoutMs;
        mStartMs = nowMs;
        mProgressMs = nowMs;
    }

    /** Restarts the timeout, as a part of the response has arrived. */
    void recordProgress(long nowMs) {
        mProgressMs = nowMs;
    }

    /** Returns how long the call may still take if no more of the response arrives. */
    long remainingMs(long nowMs) {
        if (mMaxMs == 0) {
            return mStartMs + mTimeoutMs - nowMs;
        }
        return Math.min(mProgressMs + mTimeoutMs, mStartMs + mMaxMs) - nowMs;
    }

    boolean maySend() {
        return mMaySend.getAsBoolean();
    }

    boolean isFinished() {
        return mFinished;
    }

    /** How long after the timeout a response is still accepted, in milliseconds. */
    long lateMs() {
        return mLateMs;
    }

    /** Reports that the call has timed out; a response that arrives later is reported too. */
    void expire(HttpResult timeout) {
        mFinished = true;
        mOverdue = true;
        mCallback.accept(timeout);
    }

    /** Reports the result of the call, or the response to an expired one. */
    void finish(HttpResult result) {
        boolean lateResponse = mOverdue && result instanceof HttpResult.Answered;
        if (mFinished && !lateResponse) {
            return;
        }
        mFinished = true;
        mOverdue = false;
        mTimer.cancel(false);
        mCallback.accept(result);
    }
}
