package org.foxtailplank.fleet;

import java.util.List;
import java.util.Map;
import org.foxtailplank.id.JobId;
import org.foxtailplank.id.VmId;

/**
 * Result of one placement decision.
 *
 * @param actions actions to intend and to request
 * @param lapsed tasks whose lease has expired, to be recorded as lost
 * @param refused jobs that can't run, each with the reason; reported once
 * @param quarantined newly quarantined workers, each with the reason; reported once
 */
public record PlacementDecision(
        List<PlacementAction> actions,
        List<LapsedTask> lapsed,
        Map<JobId, String> refused,
        Map<VmId, String> quarantined) {

    /**
     * A task whose worker has not renewed its lease.
     *
     * @param task the task
     * @param worker the worker
     * @param attempt attempt number that has ended
     */
    public record LapsedTask(TaskId task, VmId worker, long attempt) {}
}
