package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.TaskName;

/** A job that has not ended, with the runs of its steps. */
public final class ActiveJob {
    /** Spreads similar hash codes over all integers (Knuth's multiplicative hashing). */
    private static final int HASH_FACTOR = 0x9E3779B1;

    private final JobProgress mProgress;
    private final List<ActiveRun> mRuns = new ArrayList<>();
    private final boolean mEntitled;
    private boolean mEnding;
    private boolean mStarted;

    ActiveJob(JobProgress progress, boolean entitled) {
        mProgress = progress;
        mEntitled = entitled;
        for (int r = 0; r < progress.definition().timetable().runs(); r++) {
            mRuns.add(new ActiveRun(this, r));
        }
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

    List<ActiveRun> runs() {
        return mRuns;
    }

    Optional<ActiveTask> task(TaskName name) {
        if (!definition().contains(name)) {
            return Optional.empty();
        }
        ActiveStep step = mRuns.get(name.run()).steps().get(name.step());
        return Optional.of(step.tasks().get(name.index()));
    }

    /**
     * How little the job prefers an availability zone, from 0 to 1. Jobs differ in their order of
     * the zones, so that all zones get about the same load.
     */
    double distanceTo(String zone) {
        int mixed = (id().hashCode() ^ zone.hashCode() * HASH_FACTOR) * HASH_FACTOR;
        return (mixed >>> 1) / (double) Integer.MAX_VALUE;
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
