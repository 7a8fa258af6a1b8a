package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.foxtailplank.job.JobEntry;
import org.foxtailplank.job.JobOrder;
import org.foxtailplank.job.TaskName;

/** A job that has not ended, as its owner handles it. */
public final class ActiveJob {
    private final JobEntry mEntry;
    private final List<ActiveRun> mRuns = new ArrayList<>();
    private boolean mEnding;
    private boolean mBegun;

    ActiveJob(JobEntry entry) {
        mEntry = entry;
        for (int r = 0; r < entry.order().timetable().runs(); r++) {
            mRuns.add(new ActiveRun(this, r));
        }
    }

    public String id() {
        return mEntry.order().id();
    }

    public JobEntry entry() {
        return mEntry;
    }

    public JobOrder order() {
        return mEntry.order();
    }

    List<ActiveRun> runs() {
        return mRuns;
    }

    Optional<TaskSlot> slot(TaskName task) {
        if (!order().has(task)) {
            return Optional.empty();
        }
        ActiveStep step = mRuns.get(task.run()).steps().get(task.step());
        return Optional.of(step.slots().get(task.index()));
    }

    /** A task of it has started; returns whether the journal has yet to tell so. */
    boolean begin() {
        boolean isNews = !mBegun && !mEntry.hasBegun();
        mBegun = true;
        return isNews;
    }

    /** Whether nothing of it is started any more: it was cancelled, or a task failed for good. */
    boolean isEnding() {
        return mEnding;
    }

    void ending() {
        mEnding = true;
    }
}
