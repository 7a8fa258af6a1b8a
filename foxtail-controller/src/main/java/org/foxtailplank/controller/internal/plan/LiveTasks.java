package org.foxtailplank.controller.internal.plan;

import java.util.HashMap;
import java.util.Map;
import org.foxtailplank.id.VmId;
import org.foxtailplank.state.FleetView;
import org.foxtailplank.state.JobState;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;

/** Queries for tasks that may be running according to the log. */
public final class LiveTasks {
    private LiveTasks() {}

    /** Returns whether a task may be running on its worker. */
    public static boolean isLive(TaskState task) {
        return !task.outcome().map(TaskOutcome::isEnded).orElse(false);
    }

    /** Counts the live tasks of each worker that has any. */
    public static Map<VmId, Integer> byWorker(FleetView view) {
        Map<VmId, Integer> counts = new HashMap<>();
        for (JobState job : view.jobs()) {
            for (TaskState task : job.tasks().values()) {
                if (isLive(task)) {
                    counts.merge(task.worker(), 1, Integer::sum);
                }
            }
        }
        return counts;
    }
}
