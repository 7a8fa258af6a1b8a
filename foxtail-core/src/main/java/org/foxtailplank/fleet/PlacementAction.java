package org.foxtailplank.fleet;

import org.foxtailplank.id.VmId;
import org.foxtailplank.state.TaskAction;

/**
 * What a worker is to be asked to do with a task.
 *
 * @param task the task
 * @param worker the worker
 * @param action the action
 * @param attempt attempt number; fences earlier ones
 * @param repeated whether its intent stands in the log, so that only the call is made again
 * @param why reason, for the log
 */
public record PlacementAction(
        TaskId task, VmId worker, TaskAction action, long attempt, boolean repeated, String why) {}
