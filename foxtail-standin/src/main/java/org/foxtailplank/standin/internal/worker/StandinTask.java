package org.foxtailplank.standin.internal.worker;

import java.util.Locale;

/** One attempt at a task on a worker. */
final class StandinTask {

    private static final double THROTTLED = 0.25;

    /** What became of a task. */
    enum Status {
        STARTING,
        RUNNING,
        SUCCEEDED,
        FAILED,
        STOPPED,
        LOST;

        boolean ended() {
            return this != STARTING && this != RUNNING;
        }
    }

    final WorkerDocuments.Start mStart;
    private final double mUseFactor;
    private Status mStatus = Status.STARTING;
    private double mSpeed = 1;
    private long mLeaseEndMs;
    private long mWorkLeftMs;
    private long mSeenMs;
    private long mRunningSinceMs = Long.MAX_VALUE;
    private long mEndedMs = Long.MAX_VALUE;

    StandinTask(WorkerDocuments.Start start, long nowMs, long workMs, double useFactor) {
        mStart = start;
        mUseFactor = useFactor;
        mLeaseEndMs = nowMs + start.leaseMs();
        mWorkLeftMs = workMs;
    }

    /** Brings the task up to this time: its lease may have lapsed, its work may be done. */
    void advance(long nowMs) {
        if (mStatus.ended()) {
            return;
        }
        if (mStatus == Status.RUNNING) {
            mWorkLeftMs -= (long) ((nowMs - mSeenMs) * mSpeed);
            mSeenMs = nowMs;
        }
        if (nowMs >= mLeaseEndMs) {
            end(Status.LOST, nowMs);
        } else if (mWorkLeftMs <= 0) {
            end(Status.SUCCEEDED, nowMs);
        }
    }

    void running(long nowMs) {
        if (mStatus == Status.STARTING) {
            mStatus = Status.RUNNING;
            mSeenMs = nowMs;
            mRunningSinceMs = nowMs;
        }
    }

    void end(Status status, long nowMs) {
        if (!mStatus.ended()) {
            mStatus = status;
            mEndedMs = nowMs;
        }
    }

    void throttle(long nowMs) {
        advance(nowMs);
        mSpeed = THROTTLED;
    }

    void renew(long nowMs, long leaseMs) {
        mLeaseEndMs = nowMs + leaseMs;
    }

    boolean ended() {
        return mStatus.ended();
    }

    /** Use as measured at an earlier time. */
    WorkerDocuments.Task document(long measuredMs) {
        boolean used = mRunningSinceMs <= measuredMs && measuredMs < mEndedMs;
        double factor = used ? mUseFactor : 0;
        return new WorkerDocuments.Task(
                mStart.task(),
                mStart.attempt(),
                mStatus.name().toLowerCase(Locale.ROOT),
                mStart.processors() * factor * mSpeed,
                (long) (mStart.memoryBytes() * factor));
    }
}
