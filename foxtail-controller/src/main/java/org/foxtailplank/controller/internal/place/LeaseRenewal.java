package org.foxtailplank.controller.internal.place;

import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.id.VmId;

/**
 * A lease that is due to be renewed.
 *
 * @param task the task
 * @param worker worker that runs it
 * @param attempt attempt that it runs
 */
record LeaseRenewal(TaskId task, VmId worker, long attempt) {}
