package org.foxtailplank.schedule;

import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.TaskName;

/**
 * A job that has not ended or still has tasks on workers, with the runs of its steps that are open:
 * due and not done, or with tasks on workers. The other runs of a timetable, which may be very
 * many, take no memory.
 */
public final class ActiveJob {
    /**
     * Tasks that wait for a worker from which on no further run is opened, so that a job with very
     * many overdue runs doesn't fill the memory.
     */
    private static final int MAX_WAITING_TASKS = 64;

    /** Spreads similar hash codes over all integers (Knuth's multiplicative hashing). */
    private static final int HASH_FACTOR = 0x9E3779B1;

    private final JobProgress mProgress;
    private final NavigableMap<Integer, ActiveRun> mOpenRuns = new TreeMap<>();
    private final boolean mEntitled;
    private long mSubmittedMs;

    private List<ActiveRun> mRuns = List.of();

    /** The runs before this one have been opened or were done. */
    private int mNextRun;

    private boolean mEnding;
    private boolean mStarted;

    ActiveJob(JobProgress progress, boolean entitled) {
        mProgress = progress;
        mEntitled = entitled;
        mSubmittedMs = progress.definition().acceptedMs();
        if (runCount() == 1) {
            open(mNextRun++);
            mRuns = List.copyOf(mOpenRuns.values());
        }
    }

    private int runCount() {
        return definition().timetable().runs();
    }

    private ActiveRun open(int number) {
        return mOpenRuns.computeIfAbsent(number, n -> new ActiveRun(this, n));
    }

    public String id() {
        return mProgress.definition().id();
    }

    public JobProgress progress() {
        return mProgress;
    }

    public JobDefinition definition() {
        return mProgress.definition();
    }

    /** The open runs, in the order of their numbers. */
    List<ActiveRun> runs() {
        return mRuns;
    }

    /** Opens runs that are due, the oldest first, and closes those that are done. */
    void updateOpenRuns(long nowWallMs) {
        if (runCount() == 1) {
            return;
        }
        mOpenRuns.values().removeIf(r -> mProgress.isRunDone(r.number()) && !r.hasTaskRuns());
        int due = definition().timetable().dueRuns(nowWallMs);
        mNextRun = mProgress.firstUndoneRun(mNextRun);
        if (mNextRun < due) {
            openNextRuns(due);
        }
        mRuns = List.copyOf(mOpenRuns.values());
    }

    private void openNextRuns(int due) {
        long waiting = mOpenRuns.values().stream().mapToLong(ActiveRun::waitingTasks).sum();
        while (mNextRun < due && waiting < MAX_WAITING_TASKS) {
            waiting += open(mNextRun).waitingTasks();
            mNextRun = mProgress.firstUndoneRun(mNextRun + 1);
        }
    }

    /** Number of runs that are due but not open yet. */
    int unopenedDueRuns(long nowWallMs) {
        return Math.max(0, definition().timetable().dueRuns(nowWallMs) - mNextRun);
    }

    /** Returns a task, whose run it opens. */
    Optional<ActiveTask> task(TaskName name) {
        if (!definition().contains(name)) {
            return Optional.empty();
        }
        ActiveRun run = mOpenRuns.get(name.run());
        if (run == null) {
            run = open(name.run());
            mRuns = List.copyOf(mOpenRuns.values());
        }
        return Optional.of(run.steps().get(name.step()).tasks().get(name.index()));
    }

    /**
     * How little the job prefers an availability zone, from 0 to 1. Jobs differ in their order of
     * the zones, so that all zones get about the same load.
     */
    double distanceTo(String zone) {
        int mixed = (id().hashCode() ^ zone.hashCode() * HASH_FACTOR) * HASH_FACTOR;
        return (mixed >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** Sets the time of its first submission, which was rejected. */
    void setSubmittedMs(long submittedMs) {
        mSubmittedMs = Math.min(mSubmittedMs, submittedMs);
    }

    /** Time of its first submission as far as known, in milliseconds since 1970. */
    long submittedMs() {
        return mSubmittedMs;
    }

    /** Whether the job is within the rate that its organisation is entitled to. */
    boolean isEntitled() {
        return mEntitled;
    }

    /** Marks the job as started; returns whether the journal doesn't say so yet. */
    boolean markStarted() {
        boolean isNew = !mStarted && !mProgress.hasStarted();
        mStarted = true;
        return isNew;
    }

    /** Whether no further tasks are started because the job has ended or is being ended. */
    boolean isEnding() {
        return mEnding || mProgress.phase().isFinal();
    }

    /** Whether {@link #markEnding} was called. */
    boolean isMarkedEnding() {
        return mEnding;
    }

    void markEnding() {
        mEnding = true;
    }
}
