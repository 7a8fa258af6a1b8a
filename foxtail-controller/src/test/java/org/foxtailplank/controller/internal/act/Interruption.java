package org.foxtailplank.controller.internal.act;

import java.util.Optional;

/** Interrupts a controller at one of its calls to the log or the platform. */
final class Interruption {
    private final int mCallIndex;
    private final boolean mAfterEffect;
    private final Runnable mAction;
    private Optional<String> mVm = Optional.empty();
    private int mCalls;
    private boolean mDead;

    private Interruption(int atCall, boolean afterEffect, Runnable what) {
        mCallIndex = atCall;
        mAfterEffect = afterEffect;
        mAction = what;
    }

    static Interruption none() {
        return new Interruption(-1, false, () -> {});
    }

    /** Does something before a call (from 0), or after it took effect and before its answer. */
    static Interruption at(int call, boolean afterEffect, Runnable what) {
        return new Interruption(call, afterEffect, what);
    }

    /** Does something before the first action that is asked of a VM. */
    static Interruption atFirstAction(String vm, Runnable what) {
        Interruption interruption = new Interruption(-1, false, what);
        interruption.mVm = Optional.of(vm);
        return interruption;
    }

    /** An action is about to be asked of a VM. */
    void beforeAction(String vm) {
        if (mVm.filter(vm::equals).isPresent()) {
            mVm = Optional.empty();
            mAction.run();
        }
    }

    /** Ends the controller at a call. */
    static Interruption killAt(int call, boolean afterEffect) {
        return new Interruption(call, afterEffect, null);
    }

    /** Whether the controller is gone. */
    boolean isDead() {
        return mDead;
    }

    /** Whether the controller came as far as the call. */
    boolean wasReached() {
        return mCalls > mCallIndex;
    }

    void beforeCall() {
        if (!mAfterEffect) {
            call();
        }
    }

    void afterCall() {
        if (mAfterEffect) {
            call();
        }
    }

    private void call() {
        if (mDead || mCalls++ == mCallIndex && mAction == null) {
            mDead = true;
            throw new KilledError();
        }
        if (mCalls == mCallIndex + 1) {
            mAction.run();
        }
    }

    /** The process is gone. */
    static final class KilledError extends Error {
        private static final long serialVersionUID = 1;
    }
}
