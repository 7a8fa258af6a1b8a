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
    private final Consumer<HttpResult> mCallback;
    private boolean mFinished;
    private boolean mOverdue;

    PendingCall(
            HttpCall call, BooleanSupplier maySend, long lateMs, Consumer<HttpResult> callback) {
        mCall = call;
        mMaySend = maySend;
        mLateMs = lateMs;
        mCallback = callback;
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
