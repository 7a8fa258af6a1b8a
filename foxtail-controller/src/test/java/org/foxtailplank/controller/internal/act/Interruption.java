package org.foxtailplank.controller.internal.act;

import java.util.Optional;

/** Interrupts a controller at one of its calls to the log or the platform. */
final class Interruption {
    private final int mAtCall;
    private final boolean mAfterEffect;
    private final Runnable mWhat;
    private Optional<String> mAsked = Optional.empty();
    private int mCalls;
    private boolean mDead;

    private Interruption(int atCall, boolean afterEffect, Runnable what) {
        mAtCall = atCall;
        mAfterEffect = afterEffect;
        mWhat = what;
    }

    static Interruption none() {
        return new Interruption(-1, false, () -> {});
    }

    /** Does something before a call (from 0), or after it took effect and before its answer. */
    static Interruption at(int call, boolean afterEffect, Runnable what) {
        return new Interruption(call, afterEffect, what);
    }

    /** Does something before the first action that is asked of a VM. */
    static Interruption atFirstAsk(String vm, Runnable what) {
        Interruption interruption = new Interruption(-1, false, what);
        interruption.mAsked = Optional.of(vm);
        return interruption;
    }

    /** An action is about to be asked of a VM. */
    void beforeAsk(String vm) {
        if (mAsked.filter(vm::equals).isPresent()) {
            mAsked = Optional.empty();
            mWhat.run();
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
        return mCalls > mAtCall;
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
        if (mDead || mCalls++ == mAtCall && mWhat == null) {
            mDead = true;
            throw new KilledError();
        }
        if (mCalls == mAtCall + 1) {
            mWhat.run();
        }
    }

    /** The process is gone. */
    static final class KilledError extends Error {
        private static final long serialVersionUID = 1;
    }
}
