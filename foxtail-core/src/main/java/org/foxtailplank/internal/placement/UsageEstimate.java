package org.foxtailplank.internal.placement;

import org.foxtailplank.fleet.Resources;

/**
 * Estimated resource use of a job's tasks, from usage reports.
 *
 * <p>Declared sizes and reports are both inaccurate, so the estimate rises immediately, falls
 * slowly, and stays within a factor of the declared size.
 */
final class UsageEstimate {

    private static final double MAX_DEVIATION = 4;
    private static final double DECAY = 0.25;
    private static final double SAFETY_MARGIN = 1.1;

    private final Resources mDeclared;
    private double mMilliProcessors;
    private double mMemoryBytes;
    private boolean mMeasured;

    UsageEstimate(Resources declared, double teamRatio) {
        mDeclared = declared;
        mMilliProcessors =
                clamp(declared.milliProcessors() * teamRatio, declared.milliProcessors());
        mMemoryBytes = declared.memoryBytes();
    }

    void update(Resources used) {
        mMilliProcessors = smooth(mMilliProcessors, used.milliProcessors());
        mMemoryBytes = smooth(mMemoryBytes, used.memoryBytes());
        mMeasured = true;
    }

    /**
     * Raises the memory estimate after a failure without a measurement; the task may have run out
     * of memory.
     */
    void raiseMemory() {
        if (!mMeasured) {
            mMemoryBytes = MAX_DEVIATION * mDeclared.memoryBytes();
        }
    }

    /** Resets the memory estimate after a failure that was caused by the worker. */
    void resetMemory() {
        if (!mMeasured) {
            mMemoryBytes = mDeclared.memoryBytes();
        }
    }

    private double smooth(double current, double measured) {
        boolean rises = measured > current;
        return rises ? measured : current + DECAY * (measured - current);
    }

    /** Returns the resources to reserve for one task on a worker of the given capacity. */
    Resources reserve(Resources capacity) {
        double margin = mMeasured ? SAFETY_MARGIN : 1;
        long milli = (long) clamp(mMilliProcessors * margin, mDeclared.milliProcessors());
        long memory = (long) clamp(mMemoryBytes * margin, mDeclared.memoryBytes());
        return new Resources(
                Math.min(milli, capacity.milliProcessors()),
                Math.min(memory, capacity.memoryBytes()),
                mDeclared.accelerators());
    }

    /** Returns the ratio of measured to declared processors; 1 without a measurement. */
    double ratio() {
        return mMeasured && mDeclared.milliProcessors() > 0
                ? clamp(mMilliProcessors, mDeclared.milliProcessors()) / mDeclared.milliProcessors()
                : 1;
    }

    boolean isMeasured() {
        return mMeasured;
    }

    private static double clamp(double value, double declared) {
        return Math.max(declared / MAX_DEVIATION, Math.min(declared * MAX_DEVIATION, value));
    }
}
