package org.foxtailplank.schedule;

import java.util.List;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunStatus;

/**
 * Results of polling a worker.
 *
 * @param toStore ends that must be stored before they are acknowledged
 * @param lost runs that the worker should have but doesn't list
 * @param orphans runs that must be stopped since their jobs are unknown or have ended
 */
public record PollResult(List<RunEnd> toStore, List<TaskRun> lost, List<RunStatus> orphans) {
    /** Result of an answer that is ignored. */
    static final PollResult NONE = new PollResult(List.of(), List.of(), List.of());

    public PollResult {
        toStore = List.copyOf(toStore);
        lost = List.copyOf(lost);
        orphans = List.copyOf(orphans);
    }
}
