package org.foxtailplank.schedule;

import org.foxtailplank.job.RunView;

/** One run of a task on a worker. */
public final class TaskRun {
    private static final int FULL_PACE = 100;

    private final TaskSlot mSlot;
    private final WorkerState mWorker;
    private final int mAttempt;
    private final long mStartedMs;

    private RunPhase mPhase = RunPhase.PLANNED;
    private String mReason = "";
    private double mPercent;
    private long mPercentMs;
    private long mGauge;
    private long mConfirmedMs = -1;
    private long mOrderedMs;
    private int mPace = FULL_PACE;
    private long mAtWorkMs = -1;
    private boolean mUncertain;
    private boolean mOrderDue;

    TaskRun(TaskSlot slot, WorkerState worker, int attempt, long nowMs) {
        mSlot = slot;
        mWorker = worker;
        mAttempt = attempt;
        mStartedMs = nowMs;
        mOrderedMs = nowMs;
        mPercentMs = nowMs;
    }

    /** The start stands in the journal and may be sent. */
    void recorded() {
        mPhase = RunPhase.STARTING;
        mOrderDue = true;
        mOrderedMs = Long.MIN_VALUE / 2;
    }

    /** A run that an earlier owner may have started. */
    void inherited(long nowMs) {
        mPhase = RunPhase.RUNNING;
        mConfirmedMs = nowMs;
    }

    public TaskSlot slot() {
        return mSlot;
    }

    public WorkerState worker() {
        return mWorker;
    }

    public int attempt() {
        return mAttempt;
    }

    public RunPhase phase() {
        return mPhase;
    }

    /** Why it is being stopped. */
    public String reason() {
        return mReason;
    }

    public long startedMs() {
        return mStartedMs;
    }

    /** Whether a standing task's run serves. */
    public boolean isAtWork() {
        return mPhase == RunPhase.RUNNING && mPercent >= RunView.AT_WORK;
    }

    /** When it was first known to be there. */
    long firstSeenMs() {
        return mConfirmedMs < 0 ? mStartedMs : mConfirmedMs;
    }

    /** Progress as the worker last said it. */
    public double percent() {
        return mPercent;
    }

    /** When the progress last changed. */
    long percentMs() {
        return mPercentMs;
    }

    /** Tail latency of a serving task, in milliseconds. */
    long gauge() {
        return mGauge;
    }

    public int pace() {
        return mPace;
    }

    void pace(int percent) {
        mPace = percent;
    }

    /** When the worker first confirmed it; -1 before. */
    long confirmedMs() {
        return mConfirmedMs;
    }

    /** When the last order for it was sent. */
    long orderedMs() {
        return mOrderedMs;
    }

    void ordered(long nowMs) {
        mOrderedMs = nowMs;
    }

    /** Whether an order to start it went unanswered, so that it may begin later. */
    boolean isUncertain() {
        return mUncertain;
    }

    void uncertain() {
        mUncertain = true;
    }

    /** Whether its order must be sent, for the first time or again. */
    boolean isOrderDue() {
        return mOrderDue;
    }

    void orderDue(boolean due) {
        mOrderDue = due;
    }

    /** The worker has taken the stop: from now on a look either lists the run, or it is gone. */
    void stopTaken(long nowMs) {
        if (mConfirmedMs < 0) {
            mConfirmedMs = nowMs;
        }
    }

    /** When it was first seen at work; -1 before. */
    long atWorkMs() {
        return mAtWorkMs;
    }

    void confirmed(long nowMs) {
        if (mConfirmedMs < 0) {
            mConfirmedMs = nowMs;
        }
        if (mPhase == RunPhase.STARTING || mPhase == RunPhase.PLANNED) {
            mPhase = RunPhase.RUNNING;
        }
    }

    void stopping(String reason, long nowMs) {
        mPhase = RunPhase.STOPPING;
        mReason = reason;
        mOrderDue = true;
        mOrderedMs = Long.MIN_VALUE / 2;
    }

    void seen(RunView view, long nowMs) {
        confirmed(nowMs);
        if (view.percent() != mPercent) {
            mPercent = view.percent();
            mPercentMs = nowMs;
        }
        if (isAtWork() && mAtWorkMs < 0) {
            mAtWorkMs = nowMs;
        }
        mGauge = view.gauge();
        if (!view.checkpoint().isEmpty()) {
            mSlot.checkpoint(view.checkpoint());
        }
    }
}
