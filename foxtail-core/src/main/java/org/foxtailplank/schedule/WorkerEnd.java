package org.foxtailplank.schedule;

import java.util.List;
import org.foxtailplank.job.CrashHistory;

/**
 * Effects of the end of a worker's incarnation.
 *
 * @param crashed whether it wasn't planned
 * @param runs runs that ended with it
 * @param suspects those that may have crashed it
 */
public record WorkerEnd(boolean crashed, List<TaskRun> runs, List<Suspect> suspects) {
    /** The end of a worker that isn't known. */
    static final WorkerEnd NONE = new WorkerEnd(false, List.of(), List.of());

    public WorkerEnd {
        runs = List.copyOf(runs);
        suspects = List.copyOf(suspects);
    }

    /**
     * A run that may have crashed its worker.
     *
     * @param run the run
     * @param crashes crashes of the task, including this one
     */
    public record Suspect(TaskRun run, CrashHistory crashes) {}
}
