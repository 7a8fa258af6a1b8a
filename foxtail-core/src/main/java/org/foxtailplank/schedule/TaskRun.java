package org.foxtailplank.schedule;

import org.foxtailplank.job.CrashHistory;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.RunStatus;

/** One run of a task on a worker. */
public final class TaskRun {
    private static final int FULL_PACE = 100;

    /**
     * Time that a confirmed run has to be listed before it is cleared of crashing its worker, in
     * milliseconds.
     */
    static final long PROBATION_MS = 2000;

    private final ActiveTask mTask;
    private final WorkerState mWorker;
    private final int mAttempt;
    private final long mStartedMs;
    private final long mEntryStartMs;
    private final CrashHistory mEarlierCrashes;
    private final boolean mResumed;

    private RunPhase mPhase = RunPhase.PLANNED;
    private String mStopReason = "";
    private double mProgress;
    private long mProgressChangedMs;
    private long mTailLatencyMs;
    private long mConfirmedMs = -1;
    private long mLastCommandMs;
    private long mFirstSentMs = -1;
    private boolean mListed;
    private boolean mOnProbation = true;
    private int mPace = FULL_PACE;
    private long mReadyMs = -1;
    private boolean mInherited;
    private long mListedClockMs = Long.MIN_VALUE / 2;
    private boolean mUncertain;
    private boolean mCommandDue;

    TaskRun(ActiveTask task, WorkerState worker, int attempt, long nowMs) {
        mTask = task;
        mWorker = worker;
        mAttempt = attempt;
        mStartedMs = nowMs;
        mEntryStartMs =
                worker.registration().entry().map(e -> e.incarnation().startMs()).orElse(0L);
        mEarlierCrashes = task.accountable().crashes();
        mResumed = !task.checkpoint().isEmpty();
        mLastCommandMs = nowMs;
        mProgressChangedMs = nowMs;
    }

    /** Releases the start for sending after it was recorded in the journal. */
    void markRecorded() {
        mPhase = RunPhase.STARTING;
        mCommandDue = true;
        mLastCommandMs = Long.MIN_VALUE / 2;
    }

    /** Treats the run as running because a previous owner may have started it. */
    void markInherited(long nowMs) {
        mPhase = RunPhase.RUNNING;
        mConfirmedMs = nowMs;
        mInherited = true;
    }

    /** Stops a run that isn't wanted on its worker, but that the worker may still start. */
    void stopLateStart(long nowMs) {
        mOnProbation = false;
        mUncertain = true;
        requestStop("its start may be executed late", nowMs);
    }

    /** Whether a start may still be executed late, as its stop has not been confirmed. */
    boolean isLateStart() {
        return mUncertain && mPhase == RunPhase.STOPPING && mConfirmedMs < 0;
    }

    public ActiveTask task() {
        return mTask;
    }

    public WorkerState worker() {
        return mWorker;
    }

    /**
     * Start time in the worker's entry when the run was planned, in milliseconds since the epoch; 0
     * if unknown.
     */
    public long entryStartMs() {
        return mEntryStartMs;
    }

    public int attempt() {
        return mAttempt;
    }

    public RunPhase phase() {
        return mPhase;
    }

    /** Why the run is being stopped. */
    public String stopReason() {
        return mStopReason;
    }

    public long startedMs() {
        return mStartedMs;
    }

    /** Whether the run of a standing task is ready to serve. */
    public boolean isReady() {
        return mPhase == RunPhase.RUNNING && mProgress >= RunStatus.READY_PERCENT;
    }

    /** Whether an earlier owner started the run. */
    boolean isInherited() {
        return mInherited;
    }

    /**
     * Whether the run is ready, its worker answers, and no earlier owner is stopping it: a worker
     * goes on listing a run as ready until a stop has completed.
     */
    boolean isAvailable() {
        boolean mayBeStopping = mInherited && mListedClockMs < mWorker.earlierStopsEndClockMs();
        return isReady() && !mWorker.isUnresponsive() && !mayBeStopping;
    }

    /** Whether the run took its whole time on this worker, at full speed and near its data. */
    boolean showsRunTime() {
        return !mInherited
                && !mResumed
                && !mTask.spec().mode().standing()
                && !mTask.spec().mode().opportunistic()
                && !WorkerChooser.isRemote(mTask, mWorker);
    }

    /** Time of the worker's first confirmation, or else of the start. */
    long firstSeenMs() {
        return mConfirmedMs < 0 ? mStartedMs : mConfirmedMs;
    }

    /** Progress in percent, as last reported by the worker. */
    public double progress() {
        return mProgress;
    }

    /** Time at which the progress last changed, or the worker first confirmed the run. */
    long progressChangedMs() {
        return mProgressChangedMs;
    }

    /** Tail latency in milliseconds; meaningful for serving tasks only. */
    long tailLatencyMs() {
        return mTailLatencyMs;
    }

    public int pace() {
        return mPace;
    }

    void setPace(int percent) {
        mPace = percent;
    }

    /** Time at which the worker first confirmed the run; -1 before. */
    long confirmedMs() {
        return mConfirmedMs;
    }

    /** Time at which the last command for the run was sent. */
    long lastCommandMs() {
        return mLastCommandMs;
    }

    void recordCommandSent(long nowMs) {
        mLastCommandMs = nowMs;
    }

    /** Time at which this owner first sent the start command; -1 before, or if it never did. */
    public long firstSentMs() {
        return mFirstSentMs;
    }

    /** Records that the start command is being sent. */
    public void recordStartSent(long nowMs) {
        if (mFirstSentMs < 0) {
            mFirstSentMs = nowMs;
        }
    }

    /** Whether the run may have begun by a time. */
    boolean mayHaveBegunBy(long ms) {
        return mInherited || mConfirmedMs >= 0 || mFirstSentMs >= 0 && mFirstSentMs <= ms;
    }

    /** Whether a start command has no answer yet, or the worker accepted it after a time. */
    boolean isStartAnsweredAfter(long ms) {
        boolean sent = mPhase == RunPhase.STARTING && mFirstSentMs >= 0;
        return sent && !mCommandDue && !mUncertain || mConfirmedMs > ms;
    }

    /** The start as it is recorded in the journal. */
    public StartedRun startRecord() {
        return new StartedRun(mTask.name(), mAttempt, mWorker.incarnation(), mEarlierCrashes);
    }

    /** The end with its worker's incarnation as it is recorded in the journal. */
    public StartedRun endRecord() {
        CrashHistory crashes = mTask.accountable().crashes();
        return new StartedRun(mTask.name(), mAttempt, mWorker.incarnation(), crashes);
    }

    /** Whether the run has not been observed for long enough to rule out that it crashes. */
    boolean isOnProbation() {
        return mOnProbation;
    }

    /** Whether the run may crash its worker, as earlier ones of its task may have. */
    boolean isSuspect() {
        return mOnProbation && mEarlierCrashes.isSuspect();
    }

    /** Whether no other task is started on the worker for now. */
    boolean isIsolated() {
        return mOnProbation && mEarlierCrashes.needsIsolation();
    }

    /** Whether a poll has listed the run as running. */
    public boolean isListed() {
        return mListed;
    }

    /** Whether a start command went unanswered, so that the run may still begin. */
    boolean isUncertain() {
        return mUncertain;
    }

    void markUncertain() {
        mUncertain = true;
    }

    /** Whether a command must be sent or repeated. */
    boolean isCommandDue() {
        return mCommandDue;
    }

    void setCommandDue(boolean due) {
        mCommandDue = due;
    }

    /**
     * Records that the worker accepted the stop. From now on a poll that doesn't list the run means
     * that it has ended.
     */
    void recordStopAccepted(long nowMs) {
        if (mConfirmedMs < 0) {
            mConfirmedMs = nowMs;
        }
    }

    /** Time at which the run was first ready; -1 before. */
    long readyMs() {
        return mReadyMs;
    }

    void confirm(long nowMs) {
        if (mConfirmedMs < 0) {
            mConfirmedMs = nowMs;
            mProgressChangedMs = nowMs;
        }
        if (mPhase == RunPhase.STARTING || mPhase == RunPhase.PLANNED) {
            mPhase = RunPhase.RUNNING;
        }
    }

    void requestStop(String reason, long nowMs) {
        mPhase = RunPhase.STOPPING;
        mStopReason = reason;
        mCommandDue = true;
        mLastCommandMs = Long.MIN_VALUE / 2;
    }

    /** Applies a report that the worker made at {@code clockMs} on its clock. */
    void update(RunStatus status, long clockMs, long nowMs) {
        confirm(nowMs);
        mListed = true;
        if (mOnProbation && nowMs - mConfirmedMs >= PROBATION_MS) {
            mWorker.endProbation(this);
            mOnProbation = false;
            mTask.accountable().clearCrashes();
        }
        mListedClockMs = Math.max(mListedClockMs, clockMs);
        if (status.percent() != mProgress) {
            mProgress = status.percent();
            mProgressChangedMs = nowMs;
        }
        if (showsRunTime()) {
            mTask.step().runTime().recordProgress(nowMs - firstSeenMs(), status.percent());
        }
        if (isReady() && mReadyMs < 0) {
            mReadyMs = nowMs;
        }
        mTailLatencyMs = status.gauge();
        if (!status.checkpoint().isEmpty()) {
            mTask.setCheckpoint(status.checkpoint());
        }
    }
}
