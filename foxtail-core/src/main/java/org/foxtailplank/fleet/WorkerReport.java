package org.foxtailplank.fleet;

import java.util.List;
import org.foxtailplank.id.VmId;

/**
 * What a worker said of its tasks; it lags.
 *
 * @param worker the worker
 * @param asOfMs time of which it speaks
 * @param tasks tasks that it runs
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
     * @param used what it uses
     */
    public record Running(TaskId task, long attempt, Resources used) {}
}
