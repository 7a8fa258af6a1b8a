package org.foxtailplank.controller.internal.place;

import java.util.List;
import java.util.Optional;
import org.foxtailplank.fleet.PlacementDecision;
import org.foxtailplank.state.EpochState;
import org.foxtailplank.state.TaskConfirmed;

/**
 * What placement needs of the state, read and decided in one go.
 *
 * @param epoch who may act
 * @param plan what to do; empty where another node holds the epoch
 */
record PlacementSnapshot(EpochState epoch, Optional<Plan> plan) {
    /**
     * What to do now.
     *
     * @param decision what the placer decided
     * @param commands calls that it leads to, with what each task declares
     * @param confirmations what workers reported and the log does not say yet
     * @param renewals tasks whose leases are due
     */
    record Plan(
            PlacementDecision decision,
            List<TaskCommand> commands,
            List<TaskConfirmed> confirmations,
            List<LeaseRenewal> renewals) {}
}
