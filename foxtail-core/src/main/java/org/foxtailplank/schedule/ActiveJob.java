package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobDefinition;
import org.foxtailplank.job.JobProgress;
import org.foxtailplank.job.TaskName;

/** A job that has not ended, with the runs of its steps. */
public final class ActiveJob {
    private final JobProgress mEntry;
    private final List<ActiveRun> mRuns = new ArrayList<>();
    private boolean mEnding;
    private boolean mStarted;

    ActiveJob(JobProgress entry) {
        mEntry = entry;
        for (int r = 0; r < entry.definition().timetable().runs(); r++) {
            mRuns.add(new ActiveRun(this, r));
        }
    }

    public String id() {
        return mEntry.definition().id();
    }

    public JobProgress entry() {
        return mEntry;
    }

    public JobDefinition order() {
        return mEntry.definition();
    }

    List<ActiveRun> runs() {
        return mRuns;
    }

    Optional<ActiveTask> task(TaskName name) {
        if (!order().contains(name)) {
            return Optional.empty();
        }
        ActiveStep step = mRuns.get(name.run()).steps().get(name.step());
        return Optional.of(step.tasks().get(name.index()));
    }

    /** Marks the job as started; returns whether the journal doesn't say so yet. */
    boolean markStarted() {
        boolean isNew = !mStarted && !mEntry.hasStarted();
        mStarted = true;
        return isNew;
    }

    /** Whether no further tasks are started because the job was cancelled or has failed. */
    boolean isEnding() {
        return mEnding;
    }

    void markEnding() {
        mEnding = true;
    }
}
