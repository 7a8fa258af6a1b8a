package org.foxtailplank.schedule;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailplank.fleet.Resources;
import org.foxtailplank.job.TaskName;
import org.foxtailplank.port.WorkerInfo;
import org.foxtailplank.port.WorkerOrders.WorkerAddress;

/** One life of a worker, as the owner knows it. */
public final class WorkerState {
    private final String mId;
    private final long mFirstSeenMs;
    private final Set<TaskRun> mRuns = new LinkedHashSet<>();
    private final WorkerHealthRecord mHealth = new WorkerHealthRecord();

    private WorkerInfo mInfo;
    private Resources mUsed = Resources.NONE;
    private boolean mLooked;
    private boolean mListed = true;
    private boolean mVacating;
    private boolean mKept;
    private boolean mHasClock;
    private long mClockAheadMs;
    private long mContactMs;
    private long mGrantedMs;
    private long mSeenEnds;
    private long mStoredEnds;
    private int mStores;
    private long mFullUntilMs;
    private boolean mSilent;
    private int mFillPace = 100;
    private long mFillPaceMs = Long.MIN_VALUE / 2;
    private long mSlowUntilMs = Long.MIN_VALUE / 2;

    WorkerState(WorkerInfo info, long nowMs) {
        mId = info.id();
        mInfo = info;
        mContactMs = nowMs;
        mGrantedMs = nowMs;
        mFirstSeenMs = nowMs;
    }

    /** A worker of which only its life is known, from an earlier owner's starts. */
    static WorkerState unknown(String id, String service, long nowMs) {
        WorkerInfo info = new WorkerInfo(id, service, "", "", Resources.NONE, Set.of(), "", false);
        WorkerState worker = new WorkerState(info, nowMs);
        worker.mListed = false;
        worker.mSilent = true;
        return worker;
    }

    public String id() {
        return mId;
    }

    public WorkerInfo info() {
        return mInfo;
    }

    void info(WorkerInfo info) {
        mInfo = info;
        mListed = true;
    }

    public WorkerAddress address() {
        return new WorkerAddress(mId, mInfo.address());
    }

    public Set<TaskRun> runs() {
        return mRuns;
    }

    WorkerHealthRecord health() {
        return mHealth;
    }

    void add(TaskRun run) {
        mRuns.add(run);
        mUsed = mUsed.plus(run.slot().spec().reserved());
    }

    void remove(TaskRun run) {
        if (mRuns.remove(run)) {
            mUsed = mUsed.minus(run.slot().spec().reserved());
        }
    }

    Resources free() {
        return mInfo.capacity().minus(mUsed);
    }

    Resources used() {
        return mUsed;
    }

    /** What standing tasks have taken, in thousandths of a core. */
    long standingUsed() {
        long sum = 0;
        for (TaskRun r : mRuns) {
            if (r.slot().spec().mode().standing()) {
                sum += r.slot().spec().reserved().milliProcessors();
            }
        }
        return sum;
    }

    /** What is left when only standing tasks run there. */
    Resources freeBesideStanding() {
        Resources free = mInfo.capacity();
        for (TaskRun r : mRuns) {
            if (r.slot().spec().mode().standing()) {
                free = free.minus(r.slot().spec().reserved());
            }
        }
        return free;
    }

    boolean hasStanding() {
        return standingRuns() > 0;
    }

    /** Runs of standing tasks. */
    int standingRuns() {
        int count = 0;
        for (TaskRun r : mRuns) {
            count += r.slot().spec().mode().standing() ? 1 : 0;
        }
        return count;
    }

    /** Adds the standing tasks that run there to the number of each step's. */
    void countStanding(Map<ActiveStep, Integer> tasks) {
        for (TaskRun r : mRuns) {
            if (r.slot().spec().mode().standing()) {
                tasks.merge(r.slot().step(), 1, Integer::sum);
            }
        }
    }

    /** Whether a standing task is on its way to work there; others may wait for it. */
    public boolean hasStandingToCome() {
        for (TaskRun r : mRuns) {
            if (r.slot().spec().mode().standing() && !r.isAtWork()) {
                return true;
            }
        }
        return false;
    }

    Optional<TaskRun> run(TaskName task, int attempt) {
        for (TaskRun r : mRuns) {
            if (r.attempt() == attempt && r.slot().name().equals(task)) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** When this owner first heard of it. */
    long firstSeenMs() {
        return mFirstSeenMs;
    }

    /** Whether this owner has seen that nothing runs there. */
    boolean isEmpty() {
        return mLooked && mRuns.isEmpty();
    }

    /** Whether this owner has seen what runs there. */
    public boolean isLooked() {
        return mLooked;
    }

    /** Whether the directory still names it. */
    public boolean isListed() {
        return mListed;
    }

    void unlisted() {
        mListed = false;
    }

    /** Whether it is being emptied for a move or a reboot. */
    public boolean isVacating() {
        return mVacating;
    }

    void vacating(boolean vacating) {
        mVacating = vacating;
    }

    /** Whether its room is kept for standing tasks that have to move. */
    boolean isKept() {
        return mKept;
    }

    void kept(boolean kept) {
        mKept = kept;
    }

    /** Whether its last look went unanswered. */
    public boolean isSilent() {
        return mSilent;
    }

    void silent() {
        mSilent = true;
    }

    void contact(long clockMs, long nowMs) {
        mSilent = false;
        mContactMs = nowMs;
        if (clockMs >= 0) {
            mHasClock = true;
            mClockAheadMs = clockMs - nowMs;
        }
    }

    void looked() {
        mLooked = true;
    }

    /** Whether an answer of it has come after this time. */
    boolean hasAnsweredSince(long ms) {
        return mLooked && mContactMs > ms;
    }

    long contactMs() {
        return mContactMs;
    }

    /**
     * Renews its lease with an order that is about to be sent. A silent worker's lease stays as it
     * was: each order that may still arrive would put off the time at which the lease is surely
     * over, and its tasks would start nowhere for as long as the worker is cut off.
     *
     * @return the end of the lease on the worker's clock; 0 for none
     */
    public long renew(long nowMs, long leaseMs) {
        if (leaseMs <= 0) {
            return 0;
        }
        if (!mSilent && mHasClock) {
            granted(nowMs);
        }
        return leaseUntilMs(mSilent ? mGrantedMs : nowMs, leaseMs);
    }

    /** End of a lease that begins then, on the worker's clock; 0 while its clock is unknown. */
    long leaseUntilMs(long nowMs, long leaseMs) {
        if (!mHasClock) {
            return 0;
        }
        // A worker that takes orders while its answers are lost runs behind the clock that was read
        // from it: by seconds after minutes, and its lease would last longer than is waited for.
        long readAgo = Math.max(0, nowMs - mContactMs);
        long behind = (long) (readAgo * 2 * ScheduleLimits.CLOCK_DRIFT);
        return nowMs + mClockAheadMs + leaseMs - behind;
    }

    /** Whether its clock was read. */
    public boolean hasClock() {
        return mHasClock;
    }

    /** A lease was sent at this time. */
    void granted(long nowMs) {
        mGrantedMs = Math.max(mGrantedMs, nowMs);
    }

    /** When its lease was last renewed, or else when this owner first heard of it. */
    public long grantedMs() {
        return mGrantedMs;
    }

    long seenEnds() {
        return mSeenEnds;
    }

    void seenEnds(long sequence) {
        mSeenEnds = Math.max(mSeenEnds, sequence);
    }

    /** Ends up to this number are stored. */
    public long storedEnds() {
        return mStoredEnds;
    }

    /** A store of ends has begun; until it is over nothing newer may be acknowledged. */
    public void storing() {
        mStores++;
    }

    /** A store of ends has succeeded. */
    public void stored() {
        mStores--;
        noteStored();
    }

    /**
     * Moves the acknowledged position on where no store is under way. Guards against losing an end:
     * a look that is repeated while the store is away lists the same ends again, and nothing in
     * them is new; to acknowledge them then would let the worker forget what the journal lacks.
     */
    void noteStored() {
        if (mStores == 0) {
            mStoredEnds = mSeenEnds;
        }
    }

    /** Whether it lists ends that are not stored yet. */
    public boolean hasUnstoredEnds() {
        return mSeenEnds > mStoredEnds;
    }

    void fullUntil(long untilMs) {
        mFullUntilMs = untilMs;
    }

    /** Share of their speed at which tasks that fill it work, in percent. */
    int fillPace() {
        return mFillPace;
    }

    /** When that share was last set. */
    long fillPaceMs() {
        return mFillPaceMs;
    }

    void fillPace(int percent, long nowMs) {
        if (percent != mFillPace) {
            mFillPace = percent;
            mFillPaceMs = nowMs;
        }
    }

    void slowUntil(long untilMs) {
        mSlowUntilMs = untilMs;
    }

    /** Whether its runs stand still or crawl. */
    boolean isSlow(long nowMs) {
        return nowMs < mSlowUntilMs;
    }

    /** Whether serving tasks there have to be watched more closely. */
    public boolean isMixed() {
        return PaceControl.isMixed(this);
    }

    /**
     * Whether its room counts for its pool, also before this owner has looked at it and in the
     * moments in which it refuses tasks.
     */
    boolean counts(long nowMs) {
        return mListed && !mSilent && !mVacating && !mInfo.draining() && mHealth.isTrusted(nowMs);
    }

    /** Whether it may be given tasks. */
    boolean isUsable(long nowMs) {
        return mLooked && mHasClock && nowMs >= mFullUntilMs && counts(nowMs);
    }
}
