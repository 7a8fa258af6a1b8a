package org.foxtailplank.controller.internal.place;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.TaskConfirmed;

/**
 * The epoch and the plan from one consistent read of the state.
 *
 * @param epoch current epoch of placement
 * @param plan the plan; empty if another node holds the epoch
 */
record PlacementSnapshot(EpochState epoch, Optional<Plan> plan) {
    /**
     * The actions that are due.
     *
     * @param decision decision of the placer
     * @param commands commands that follow from it
     * @param confirmations outcomes that are not in the log yet
     * @param renewals leases that are due to be renewed
     */
    record Plan(
            PlacementDecision decision,
            List<TaskCommand> commands,
            List<TaskConfirmed> confirmations,
            List<LeaseRenewal> renewals) {}
}
