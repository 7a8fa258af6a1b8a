package org.foxtailplank.controller.internal.place;

import org.foxtailplank.fleet.PlacementAction;
import org.foxtailplank.state.JobSpec;

/**
 * An action on a task with what the task declares.
 *
 * @param action the action
 * @param spec what its job asks for
 * @param confirmedRunning whether the worker has said that it runs this attempt
 */
record TaskCommand(PlacementAction action, JobSpec spec, boolean confirmedRunning) {}
