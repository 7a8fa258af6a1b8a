package org.foxtailplank.load.internal.fleet;

import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.foxtailplank.fleet.TaskId;

/** Adds up what a placement run comes to. */
final class PlacementMeter {

    static final long URGENT_MS = 4_400;

    private static final double NANOS_OF_MS = 1e6;

    private final Histogram mUrgent = new Histogram(3);
    private final Histogram mCalm = new Histogram(3);
    private final Histogram mDecision = new Histogram(3);
    private final Map<TaskId, Boolean> mAwaited = new HashMap<>();
    private final Map<TaskId, Long> mSubmitted = new HashMap<>();
    private int mLate;
    private int mLateInTrouble;
    private double mUsed;
    private long mSamples;

    /** Counts that the run raises as it goes. */
    enum Count {
        STARTS,
        BLACK_HOLE_STARTS,
        OUT_OF_MEMORY,
        THROTTLES,
        CHECKPOINTS,
        STOPS,
        NEVER_RUNNING,
        REFUSED_NEVER,
        REFUSED_OTHERS,
        SUCCEEDED,
        VOIDED
    }

    private final long[] mCounts = new long[Count.values().length];

    void count(Count what) {
        mCounts[what.ordinal()]++;
    }

    private long of(Count what) {
        return mCounts[what.ordinal()];
    }

    /** An urgent task was submitted. */
    void submitted(TaskId task, boolean inTrouble, long nowMs) {
        mAwaited.put(task, inTrouble);
        mSubmitted.put(task, nowMs);
    }

    /** A task was confirmed to run. */
    void started(TaskId task, long nowMs) {
        Boolean inTrouble = mAwaited.remove(task);
        if (inTrouble != null) {
            long took = nowMs - mSubmitted.remove(task);
            mUrgent.recordValue(took);
            if (!inTrouble) {
                mCalm.recordValue(took);
            }
            late(took > URGENT_MS, inTrouble);
        }
    }

    /** An urgent task is not waited for any more. */
    void cancelled(TaskId task) {
        mAwaited.remove(task);
    }

    private void late(boolean isLate, boolean inTrouble) {
        mLate += isLate ? 1 : 0;
        mLateInTrouble += isLate && inTrouble ? 1 : 0;
    }

    void decided(long nanos) {
        mDecision.recordValue(nanos);
    }

    void used(double share) {
        mUsed += share;
        mSamples++;
    }

    PlacementResult result(String policy) {
        mAwaited.forEach((task, inTrouble) -> late(true, inTrouble));
        return new PlacementResult(
                policy,
                mUrgent.getTotalCount(),
                mUrgent.getValueAtPercentile(50),
                mUrgent.getValueAtPercentile(99),
                mUrgent.getMaxValue(),
                mCalm.getValueAtPercentile(99),
                mCalm.getMaxValue(),
                mLate,
                mLateInTrouble,
                of(Count.STARTS),
                of(Count.BLACK_HOLE_STARTS),
                of(Count.OUT_OF_MEMORY),
                of(Count.THROTTLES),
                of(Count.CHECKPOINTS),
                of(Count.STOPS),
                (int) of(Count.NEVER_RUNNING),
                (int) of(Count.REFUSED_NEVER),
                (int) of(Count.REFUSED_OTHERS),
                of(Count.SUCCEEDED),
                mUsed / Math.max(1, mSamples),
                of(Count.VOIDED),
                mDecision.getValueAtPercentile(99) / NANOS_OF_MS,
                mDecision.getMaxValue() / NANOS_OF_MS);
    }
}
