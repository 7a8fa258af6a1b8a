package org.foxtailplank.schedule;

import java.util.List;
import org.foxtailplank.job.RunEnd;
import org.foxtailplank.job.RunView;

/**
 * What a look at a worker told.
 *
 * @param toStore ends that must be stored before they are acknowledged
 * @param lost runs that the worker should have and doesn't list
 * @param orphans runs of jobs that have ended or are not known; they must be stopped
 */
public record LookEffects(List<RunEnd> toStore, List<TaskRun> lost, List<RunView> orphans) {
    public LookEffects {
        toStore = List.copyOf(toStore);
        lost = List.copyOf(lost);
        orphans = List.copyOf(orphans);
    }
}
