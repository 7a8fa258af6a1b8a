package org.foxtailplank.controller.internal.admin;

import org.foxtailplank.id.TeamId;
import org.foxtailplank.settings.Role;

/**
 * The authenticated team behind a request.
 *
 * @param team team whose token was presented
 * @param role role of the team
 */
record Principal(TeamId team, Role role) {
    /** Returns whether it may act on behalf of a team. */
    boolean mayActFor(TeamId other) {
        return team.equals(other) || role == Role.OPERATOR;
    }
}
