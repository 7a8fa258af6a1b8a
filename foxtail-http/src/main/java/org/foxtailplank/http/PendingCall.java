package org.foxtailplank.http;

import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A call on its way. */
final class PendingCall {
    final HttpCall mCall;
    Future<?> mTimer;
    ClientConnection mConnection;

    private final BooleanSupplier mMaySend;
    private final Consumer<HttpResult> mThen;
    private boolean mFinished;

    PendingCall(HttpCall call, BooleanSupplier maySend, Consumer<HttpResult> then) {
        mCall = call;
        mMaySend = maySend;
        mThen = then;
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
        mThen.accept(result);
    }
}
