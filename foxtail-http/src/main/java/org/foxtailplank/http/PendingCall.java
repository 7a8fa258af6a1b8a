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
    private final Consumer<HttpResult> mCallback;
    private boolean mFinished;

    PendingCall(HttpCall call, BooleanSupplier maySend, Consumer<HttpResult> callback) {
        mCall = call;
        mMaySend = maySend;
        mCallback = callback;
    }

    boolean maySend() {
        return mMaySend.getAsBoolean();
    }

    boolean isFinished() {
        return mFinished;
    }

    void finish(HttpResult result) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mTimer.cancel(false);
        mCallback.accept(result);
    }
}
