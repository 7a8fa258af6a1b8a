package org.foxtailplank.schedule;

/**
 * Run time of a step's tasks as their runs show it.
 *
 * <p>Answers callers' estimates that are several times too high or too low. The error differs from
 * step to step and is about the same for all tasks of a step, so that the first runs of a step tell
 * how long the others take.
 */
final class ObservedRunTime {
    /** Progress from which a run's total time is projected, in percent. */
    private static final double MIN_PERCENT = 5;

    /** Age from which a run's total time is projected, in milliseconds. */
    private static final double MIN_AGE_MS = 100;

    private static final double FULL_PERCENT = 100;

    private double mEndedMs;
    private int mEnded;
    private double mProjectedMs = Double.MAX_VALUE;

    /** Records how long a completed run took. */
    void recordEnd(double elapsedMs) {
        mEndedMs += elapsedMs;
        mEnded++;
    }

    /** Records the progress of a run; the fastest one counts, as others may be on slow workers. */
    void recordProgress(double elapsedMs, double percent) {
        if (percent >= MIN_PERCENT && percent < FULL_PERCENT && elapsedMs >= MIN_AGE_MS) {
            mProjectedMs = Math.min(mProjectedMs, elapsedMs * FULL_PERCENT / percent);
        }
    }

    /** Expected run time of a task, in milliseconds: the estimate until a run shows another. */
    long expectedMs(long estimateMs) {
        if (mEnded > 0) {
            return Math.round(mEndedMs / mEnded);
        }
        return mProjectedMs < Double.MAX_VALUE ? Math.round(mProjectedMs) : estimateMs;
    }
}
