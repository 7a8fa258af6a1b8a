package org.foxtailplank.fleet;

import org.foxtailplank.id.VmId;
import org.foxtailplank.state.TaskAction;

/**
 * An action on a task to request from a worker.
 *
 * @param task the task
 * @param worker the worker
 * @param action the action
 * @param attempt attempt number; fences earlier ones
 * @param repeated whether its intent is in the log already, so that only the call is repeated
 * @param why reason, for log output
 */
public record PlacementAction(
        TaskId task, VmId worker, TaskAction action, long attempt, boolean repeated, String why) {}
