package org.foxtailplank.fleet;

import java.util.List;
import org.foxtailplank.id.VmId;

/**
 * A worker's report of its running tasks; it lags.
 *
 * @param worker the worker
 * @param asOfMs time of the report's measurements
 * @param tasks tasks that the worker runs
 */
public record WorkerReport(VmId worker, long asOfMs, List<Running> tasks) {

    public WorkerReport {
        tasks = List.copyOf(tasks);
    }

    /**
     * A task that a worker runs.
     *
     * @param task the task
     * @param attempt attempt number under which it was started
     * @param used resources that the task uses
     */
    public record Running(TaskId task, long attempt, Resources used) {}
}
