package org.foxtailplank.controller.internal.place;

import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.state.JobSpec;

/**
 * A placement action with the specification of its job.
 *
 * @param action the action
 * @param spec specification of the job
 * @param confirmedRunning whether the worker has confirmed that it runs this attempt
 */
record TaskCommand(PlacementAction action, JobSpec spec, boolean confirmedRunning) {}
