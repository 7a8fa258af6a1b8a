package org.foxtailplank.fleet;

import java.util.List;
import java.util.Map;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;

/**
 * What follows from the state of the tasks at a time.
 *
 * @param actions actions to intend and to ask for
 * @param lapsed tasks whose lease has lapsed, to be recorded as lost
 * @param refused jobs that will never run, each with the reason, said once
 * @param quarantined workers that get no tasks for a while, each with the reason, said once
 */
public record PlacementDecision(
        List<PlacementAction> actions,
        List<LapsedTask> lapsed,
        Map<JobId, String> refused,
        Map<VmId, String> quarantined) {

    /**
     * A task whose worker has been silent beyond its lease.
     *
     * @param task the task
     * @param worker the worker
     * @param attempt attempt number that is over
     */
    public record LapsedTask(TaskId task, VmId worker, long attempt) {}
}
