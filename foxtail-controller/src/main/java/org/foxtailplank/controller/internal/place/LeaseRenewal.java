package org.foxtailplank.controller.internal.place;

import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.id.VmId;

/**
 * A lease that is due to be renewed.
 *
 * @param task the task
 * @param worker worker that runs the task
 * @param attempt attempt that the worker runs
 */
record LeaseRenewal(TaskId task, VmId worker, long attempt) {}
