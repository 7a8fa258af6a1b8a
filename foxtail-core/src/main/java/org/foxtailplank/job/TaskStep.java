package org.foxtailplank.job;

import java.util.List;
import org.foxtailplank.fleet.Resources;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param tasks number of tasks
 * @param demand resources that one task uses
 * @param estimateMs estimated run time of one task, in milliseconds
 * @param dependsOn numbers of the earlier steps that must be done before this one starts
 * @param placement placement constraints of the tasks
 * @param mode execution mode of the tasks
 */
public record TaskStep(
        int tasks,
        Resources demand,
        long estimateMs,
        List<Integer> dependsOn,
        PlacementConstraints placement,
        RunMode mode) {
    public TaskStep {
        dependsOn = List.copyOf(dependsOn);
    }

    /** Resources that one task reserves on its worker; tasks on idle time reserve no processor. */
    public Resources reserved() {
        return mode.opportunistic()
                ? new Resources(0, demand.memoryBytes(), demand.accelerators())
                : demand;
    }
}
