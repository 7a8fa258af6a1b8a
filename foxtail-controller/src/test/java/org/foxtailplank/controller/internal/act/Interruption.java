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

    private Interruption(int callIndex, boolean afterEffect, Runnable action) {
        mCallIndex = callIndex;
        mAfterEffect = afterEffect;
        mAction = action;
    }

    static Interruption none() {
        return new Interruption(-1, false, () -> {});
    }

    /**
     * Runs an action before a call (counted from 0), or after its effect but before its response.
     */
    static Interruption at(int call, boolean afterEffect, Runnable action) {
        return new Interruption(call, afterEffect, action);
    }

    /** Runs an action before the first platform action is requested for a VM. */
    static Interruption atFirstAction(String vm, Runnable action) {
        Interruption interruption = new Interruption(-1, false, action);
        interruption.mVm = Optional.of(vm);
        return interruption;
    }

    /** Called before a platform action is requested for a VM. */
    void beforeAction(String vm) {
        if (mVm.filter(vm::equals).isPresent()) {
            mVm = Optional.empty();
            mAction.run();
        }
    }

    /** Kills the controller at a call. */
    static Interruption killAt(int call, boolean afterEffect) {
        return new Interruption(call, afterEffect, null);
    }

    /** Returns whether the controller was killed. */
    boolean isDead() {
        return mDead;
    }

    /** Returns whether the controller reached the call. */
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

    /** Thrown to simulate the death of the process. */
    static final class KilledError extends Error {
        private static final long serialVersionUID = 1;
    }
}
