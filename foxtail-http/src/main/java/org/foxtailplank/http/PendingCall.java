package org.foxtailplank.http;

import java.util.concurrent.Future;
import java.util.function.Consumer;

/** A call on its way. */
final class PendingCall {
    final HttpCall mCall;
    Future<?> mTimer;
    ClientConnection mConnection;

    private final Consumer<HttpResult> mThen;
    private boolean mFinished;

    PendingCall(HttpCall call, Consumer<HttpResult> then) {
        mCall = call;
        mThen = then;
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
        mThen.accept(result);
    }
}
