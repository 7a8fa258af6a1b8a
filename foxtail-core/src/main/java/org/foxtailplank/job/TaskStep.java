package org.foxtailplank.job;

import java.util.List;
import org.foxtailplank.fleet.Resources;

/**
 * A step of a job: a number of like tasks.
 *
 * @param tasks number of tasks
 * @param demand what one task takes of a worker
 * @param estimateMs rough run time of one task, in milliseconds
 * @param dependsOn numbers of the earlier steps that must be done first
 * @param placement where the tasks may run
 * @param mode how the tasks run
 */
public record TaskStep(
        int tasks,
        Resources demand,
        long estimateMs,
        List<Integer> dependsOn,
        PlacementRule placement,
        RunMode mode) {
    public TaskStep {
        dependsOn = List.copyOf(dependsOn);
    }

    /** What one task takes from the room of its worker. */
    public Resources reserved() {
        return mode.fills()
                ? new Resources(0, demand.memoryBytes(), demand.accelerators())
                : demand;
    }
}
