package org.foxtailplank.schedule;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.job.WorkerIncarnation;
import org.foxtailplank.port.WorkerClient.WorkerAddress;

/** One incarnation of a worker, as known to the owner. */
public final class WorkerState {
    private final Registration mRegistration;
    private final long mFirstSeenMs;
    private final Set<TaskRun> mRuns = new LinkedHashSet<>();
    private final LeaseHold mLeaseHold = new LeaseHold();
    private final WorkerHealthRecord mHealth = new WorkerHealthRecord();

    private Resources mUsed = Resources.NONE;
    private int mSuspects;
    private int mIsolatedRuns;
    private boolean mPolled;
    private boolean mEvacuating;
    private boolean mReservedForStanding;
    private boolean mRebootDue;
    private boolean mHasClock;
    private long mClockOffsetMs;
    private long mClockReadMs;
    private long mLastAnswerClockMs = -1;
    private long mLastAnswerMs;
    private long mEarlierStopsEndClockMs = Long.MAX_VALUE;
    private long mGrantedMs;
    private long mSeenEnds;
    private long mStoredEnds;
    private int mPendingStores;
    private long mFullUntilMs;
    private boolean mUnresponsive;
    private long mUnresponsiveSinceMs;
    private boolean mAnsweredLate;
    private long mLateAnswerMs = Long.MIN_VALUE / 2;
    private int mFillPace = 100;
    private long mFillPaceMs = Long.MIN_VALUE / 2;
    private long mSlowUntilMs = Long.MIN_VALUE / 2;

    /** Creates an incarnation without an entry; the address may be empty if it is unknown. */
    WorkerState(WorkerIncarnation incarnation, String address, long nowMs) {
        mRegistration = new Registration(incarnation, address);
        mLastAnswerMs = nowMs;
        mGrantedMs = nowMs;
        mFirstSeenMs = nowMs;
    }

    public String id() {
        return incarnation().id();
    }

    public WorkerIncarnation incarnation() {
        return mRegistration.incarnation();
    }

    /** What the directory says of the worker. */
    public Registration registration() {
        return mRegistration;
    }

    public WorkerAddress address() {
        return new WorkerAddress(id(), mRegistration.address());
    }

    /** Name of the service whose tasks run here, by its entry or else by its runs. */
    Optional<String> service() {
        return mRegistration
                .service()
                .or(() -> mRuns.stream().findFirst().map(r -> r.task().service()));
    }

    public Set<TaskRun> runs() {
        return mRuns;
    }

    WorkerHealthRecord health() {
        return mHealth;
    }

    void add(TaskRun run) {
        mRuns.add(run);
        mUsed = mUsed.plus(run.task().spec().reserved());
        mSuspects += run.isSuspect() ? 1 : 0;
        mIsolatedRuns += run.isIsolated() ? 1 : 0;
    }

    void remove(TaskRun run) {
        if (mRuns.remove(run)) {
            mUsed = mUsed.minus(run.task().spec().reserved());
            endProbation(run);
        }
    }

    /** Stops counting a run as a suspect; called before its probation is over. */
    void endProbation(TaskRun run) {
        mSuspects -= run.isSuspect() ? 1 : 0;
        mIsolatedRuns -= run.isIsolated() ? 1 : 0;
    }

    /** Number of runs here that may crash the worker, as earlier runs of their tasks may have. */
    int suspects() {
        return mSuspects;
    }

    /** Whether no other task is started here, because a run is likely to crash the worker. */
    boolean isIsolating() {
        return mIsolatedRuns > 0;
    }

    /** Capacity that the runs here leave: none until the worker's entry has been read. */
    Resources free() {
        return mRegistration.capacityLeftBy(mUsed);
    }

    /**
     * Whether the runs here exceed the capacity, which may shrink while they run; false while the
     * capacity is unknown.
     */
    boolean isOverCapacity() {
        return !Resources.NONE.fitsIn(free());
    }

    /** The same once the runs that are being stopped have ended. */
    boolean isOverCapacityAfterStops() {
        Resources free = free();
        for (TaskRun r : mRuns) {
            if (r.phase() == RunPhase.STOPPING) {
                free = free.plus(r.task().spec().reserved());
            }
        }
        return !Resources.NONE.fitsIn(free);
    }

    Resources used() {
        return mUsed;
    }

    /** Capacity reserved by standing tasks. */
    Resources standing() {
        Resources sum = Resources.NONE;
        for (TaskRun r : mRuns) {
            if (r.task().spec().mode().standing()) {
                sum = sum.plus(r.task().spec().reserved());
            }
        }
        return sum;
    }

    /** Capacity left if only the standing tasks ran here. */
    Resources freeWithoutBatch() {
        return mRegistration.capacityLeftBy(standing());
    }

    boolean hasStandingRuns() {
        return standingRuns() > 0;
    }

    /** Number of runs of standing tasks. */
    int standingRuns() {
        int count = 0;
        for (TaskRun r : mRuns) {
            count += r.task().spec().mode().standing() ? 1 : 0;
        }
        return count;
    }

    /** Adds the number of standing runs here to the count of each step. */
    void addStandingCounts(Map<ActiveStep, Integer> tasks) {
        for (TaskRun r : mRuns) {
            if (r.task().spec().mode().standing()) {
                tasks.merge(r.task().step(), 1, Integer::sum);
            }
        }
    }

    /** Whether a standing task here is not ready yet; a reboot elsewhere may wait for it. */
    public boolean hasStartingStandingRun() {
        for (TaskRun r : mRuns) {
            if (r.task().spec().mode().standing() && !r.isReady()) {
                return true;
            }
        }
        return false;
    }

    Optional<TaskRun> run(TaskName name, int attempt) {
        for (TaskRun r : mRuns) {
            if (r.attempt() == attempt && r.task().name().equals(name)) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Time at which this owner first learned of the worker. */
    public long firstSeenMs() {
        return mFirstSeenMs;
    }

    /** Whether this owner has polled the worker and knows of no run on it. */
    boolean isEmpty() {
        return mPolled && mRuns.isEmpty();
    }

    /** Whether this owner has polled the worker. */
    public boolean isPolled() {
        return mPolled;
    }

    /** Whether the worker is being emptied for a move or a reboot of its VM. */
    public boolean isEvacuating() {
        return mEvacuating;
    }

    void setEvacuating(boolean evacuating) {
        mEvacuating = evacuating;
    }

    /** Whether new batch tasks are kept off, since standing tasks have to move here. */
    boolean isReservedForStanding() {
        return mReservedForStanding;
    }

    void setReservedForStanding(boolean reserved) {
        mReservedForStanding = reserved;
    }

    /** Whether a wave will reboot the worker's VM. */
    boolean isRebootDue() {
        return mRebootDue;
    }

    void setRebootDue(boolean due) {
        mRebootDue = due;
    }

    /** Whether the last poll went unanswered. */
    public boolean isUnresponsive() {
        return mUnresponsive;
    }

    void markUnresponsive(long nowMs) {
        if (!mUnresponsive) {
            mUnresponsiveSinceMs = nowMs;
        }
        mUnresponsive = true;
    }

    /**
     * Time at which the worker was first noticed to be gone: when it stopped answering, or now if
     * it has answered so far.
     */
    public long noticedGoneMs(long nowMs) {
        return mUnresponsive ? mUnresponsiveSinceMs : nowMs;
    }

    void recordAnswer(long clockMs, long nowMs, long stopMs) {
        mUnresponsive = false;
        mLastAnswerMs = nowMs;
        if (clockMs >= 0) {
            recordAnswerClock(clockMs, stopMs);
            mClockOffsetMs = clockMs - nowMs;
            mClockReadMs = nowMs;
            mHasClock = true;
        }
    }

    /**
     * Records an answer to a poll that had timed out. The worker may have stopped answering since,
     * so it stays unresponsive, but its lease can be renewed.
     */
    void recordLateAnswer(long clockMs, long nowMs, long stopMs) {
        mAnsweredLate = true;
        mLateAnswerMs = nowMs;
        if (clockMs >= 0) {
            recordAnswerClock(clockMs, stopMs);
            // The delay makes the reading too low. An earlier one is still a lower bound.
            long reading = clockMs - nowMs;
            mClockOffsetMs = mHasClock ? Math.max(reading, minClockOffsetMs(nowMs)) : reading;
            mClockReadMs = nowMs;
            mHasClock = true;
        }
    }

    private void recordAnswerClock(long clockMs, long stopMs) {
        mLastAnswerClockMs = clockMs;
        mEarlierStopsEndClockMs = Math.min(mEarlierStopsEndClockMs, clockMs + stopMs);
    }

    /**
     * Lower bound of the difference between the worker's clock, which may be slow, and ours. With a
     * higher value leases would outlast the time that owners wait for.
     */
    private long minClockOffsetMs(long nowMs) {
        long readingAgeMs = Math.max(0, nowMs - mClockReadMs);
        return mClockOffsetMs - (long) (readingAgeMs * 2 * ScheduleLimits.CLOCK_DRIFT);
    }

    /** Whether the worker gave an answer before the last one that was applied, by its clock. */
    public boolean isOutdated(long clockMs) {
        return clockMs >= 0 && clockMs < mLastAnswerClockMs;
    }

    /**
     * Time on the worker's clock by which all stops that an earlier owner requested have completed:
     * the worker rejects that owner's commands once it has answered this one.
     */
    long earlierStopsEndClockMs() {
        return mEarlierStopsEndClockMs;
    }

    /** Marks the worker as not polled: its incarnation may have ended since the last answer. */
    void markUnverified() {
        mPolled = false;
    }

    void markPolled() {
        mPolled = true;
    }

    /** Whether the worker has answered after this time. */
    boolean hasAnsweredSince(long ms) {
        return mPolled && mLastAnswerMs > ms;
    }

    /** Whether an answer to a poll that had timed out arrived after this time. */
    boolean hasAnsweredLateSince(long ms) {
        return mLateAnswerMs > ms;
    }

    /** Time of the last answer that arrived before its poll's timeout; of the creation if none. */
    public long lastAnswerMs() {
        return mLastAnswerMs;
    }

    /**
     * Renews the lease with a command that is about to be sent. The lease of an unresponsive worker
     * is not extended, unless it has answered late since the last poll: any such command may still
     * arrive, so extending it would postpone the time at which the lease has certainly expired and
     * at which its tasks may start elsewhere.
     *
     * @return end of the lease on the worker's clock; 0 for none
     */
    public long renewLease(long nowMs, long leaseMs) {
        if (leaseMs <= 0) {
            return 0;
        }
        boolean renewable = hasAnsweredLastPoll() && !mLeaseHold.applies(mRuns, nowMs);
        if (renewable && mHasClock) {
            recordLeaseGrant(nowMs);
        }
        return leaseUntilMs(renewable ? nowMs : mGrantedMs, leaseMs);
    }

    LeaseHold leaseHold() {
        return mLeaseHold;
    }

    /** Whether the last poll was answered, or an earlier one since, after its timeout. */
    public boolean hasAnsweredLastPoll() {
        return !mUnresponsive || mAnsweredLate;
    }

    /** Records that a poll is sent. */
    public void recordPoll() {
        mAnsweredLate = false;
    }

    /** End of a lease that starts at {@code nowMs}, on the worker's clock; 0 if that is unknown. */
    long leaseUntilMs(long nowMs, long leaseMs) {
        if (!mHasClock) {
            return 0;
        }
        return nowMs + minClockOffsetMs(nowMs) + leaseMs;
    }

    /** Whether the worker's clock has been read. */
    public boolean hasClock() {
        return mHasClock;
    }

    /** Records that a lease was sent at this time. */
    void recordLeaseGrant(long nowMs) {
        mGrantedMs = Math.max(mGrantedMs, nowMs);
    }

    /** Time of the last lease renewal, or else the time at which the worker was first known. */
    public long leaseRenewedMs() {
        return mGrantedMs;
    }

    /** Highest sequence number of the ends that have been applied. */
    public long seenEnds() {
        return mSeenEnds;
    }

    void setSeenEnds(long sequence) {
        mSeenEnds = Math.max(mSeenEnds, sequence);
    }

    /** Highest sequence number up to which ends are stored. */
    public long storedEnds() {
        return mStoredEnds;
    }

    /** Records that a store of ends began; newer ends can't be acknowledged before it completes. */
    public void beginStore() {
        mPendingStores++;
    }

    /** Records that a store of ends has succeeded. */
    public void endStore() {
        mPendingStores--;
        updateStoredEnds();
    }

    /**
     * Advances the acknowledged sequence number if no store is in progress. A poll during a store
     * lists the same ends again as if nothing were new; acknowledging them would let the worker
     * drop ends that the journal lacks.
     */
    void updateStoredEnds() {
        if (mPendingStores == 0) {
            mStoredEnds = mSeenEnds;
        }
    }

    /** Whether the worker has reported ends that are not stored yet. */
    public boolean hasUnstoredEnds() {
        return mSeenEnds > mStoredEnds;
    }

    void markFullUntil(long untilMs) {
        mFullUntilMs = untilMs;
    }

    /** Share of full speed for tasks that use spare capacity, in percent. */
    int fillPace() {
        return mFillPace;
    }

    /** Time at which the fill pace last changed. */
    long fillPaceMs() {
        return mFillPaceMs;
    }

    void setFillPace(int percent, long nowMs) {
        if (percent != mFillPace) {
            mFillPace = percent;
            mFillPaceMs = nowMs;
        }
    }

    void markSlowUntil(long untilMs) {
        mSlowUntilMs = untilMs;
    }

    /** Whether runs here have recently stalled or been slow. */
    boolean isSlow(long nowMs) {
        return nowMs < mSlowUntilMs;
    }

    /** Whether serving tasks run beside tasks that use spare capacity. */
    public boolean isMixed() {
        return PaceControl.isMixed(this);
    }

    /**
     * Whether the worker counts as capacity of its pool, even before the first poll and while it
     * rejects tasks for lack of room.
     */
    boolean countsAsCapacity(long nowMs) {
        return mRegistration.isCurrent()
                && !mUnresponsive
                && !mEvacuating
                && !mRegistration.isDraining()
                && mHealth.isTrusted(nowMs);
    }

    /**
     * Whether the worker answers while its entry has not been read, so that it is about to become
     * capacity of a pool that is not known yet.
     */
    boolean isAwaitingEntry() {
        return !mRegistration.isKnown() && mPolled && !mUnresponsive && !mEvacuating;
    }

    /** Whether the worker may be given tasks. */
    boolean isUsable(long nowMs) {
        boolean known = mPolled && mHasClock && !mLeaseHold.applies(mRuns, nowMs);
        return known && nowMs >= mFullUntilMs && countsAsCapacity(nowMs);
    }
}
