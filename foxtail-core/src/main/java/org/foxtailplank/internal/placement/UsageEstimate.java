package org.foxtailplank.internal.placement;

import org.foxtailplank.fleet.Resources;

/**
 * What a task of a job really takes, learned from usage reports.
 *
 * <p>Declared sizes are wrong by several times both ways, and reports lag and err too; so the
 * estimate rises at once, falls slowly, and stays within a factor of what was declared.
 */
final class UsageEstimate {

    private static final double MOST_WRONG = 4;
    private static final double FALL = 0.25;
    private static final double MARGIN = 1.1;

    private final Resources mDeclared;
    private double mMilliProcessors;
    private double mMemoryBytes;
    private boolean mMeasured;

    UsageEstimate(Resources declared, double teamRatio) {
        mDeclared = declared;
        mMilliProcessors =
                bounded(declared.milliProcessors() * teamRatio, declared.milliProcessors());
        mMemoryBytes = declared.memoryBytes();
    }

    void seen(Resources used) {
        mMilliProcessors = follow(mMilliProcessors, used.milliProcessors());
        mMemoryBytes = follow(mMemoryBytes, used.memoryBytes());
        mMeasured = true;
    }

    /** A task failed before anything was measured; it may have lacked memory. */
    void failed() {
        if (!mMeasured) {
            mMemoryBytes = MOST_WRONG * mDeclared.memoryBytes();
        }
    }

    /** The failure was the worker's. */
    void forgive() {
        if (!mMeasured) {
            mMemoryBytes = mDeclared.memoryBytes();
        }
    }

    private double follow(double known, double seen) {
        boolean rises = seen > known;
        return rises ? seen : known + FALL * (seen - known);
    }

    /** What to keep for one task on a worker of that capacity. */
    Resources reserve(Resources capacity) {
        double margin = mMeasured ? MARGIN : 1;
        long milli = (long) bounded(mMilliProcessors * margin, mDeclared.milliProcessors());
        long memory = (long) bounded(mMemoryBytes * margin, mDeclared.memoryBytes());
        return new Resources(
                Math.min(milli, capacity.milliProcessors()),
                Math.min(memory, capacity.memoryBytes()),
                mDeclared.accelerators());
    }

    /** Measured use for each declared unit. */
    double ratio() {
        return mMeasured && mDeclared.milliProcessors() > 0
                ? bounded(mMilliProcessors, mDeclared.milliProcessors())
                        / mDeclared.milliProcessors()
                : 1;
    }

    boolean isMeasured() {
        return mMeasured;
    }

    private static double bounded(double value, double declared) {
        return Math.max(declared / MOST_WRONG, Math.min(declared * MOST_WRONG, value));
    }
}
