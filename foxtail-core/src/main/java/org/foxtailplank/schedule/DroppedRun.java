package org.foxtailplank.schedule;

import java.util.Objects;
import org.foxtailplank.job.JournalRecord.StartedRun;
import org.foxtailplank.job.TaskName;

/**
 * A recorded or planned start that doesn't count as a run any longer, for the log.
 *
 * @param worker ID of the worker
 * @param why the reason in words
 */
public record DroppedRun(TaskName task, int attempt, String worker, String why) {
    public DroppedRun {
        Objects.requireNonNull(task);
        Objects.requireNonNull(worker);
        Objects.requireNonNull(why);
    }

    static DroppedRun of(TaskRun run, String why) {
        return new DroppedRun(run.task().name(), run.attempt(), run.worker().id(), why);
    }

    static DroppedRun of(StartedRun start, String why) {
        return new DroppedRun(start.task(), start.attempt(), start.worker().id(), why);
    }
}
