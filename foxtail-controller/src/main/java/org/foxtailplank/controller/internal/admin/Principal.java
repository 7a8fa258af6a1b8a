package org.foxtailplank.controller.internal.admin;

import org.foxtailplank.id.TeamId;
import org.foxtailplank.settings.Role;

/**
 * Who calls the administration API.
 *
 * @param team team whose token was presented
 * @param role what it may do
 */
record Principal(TeamId team, Role role) {
    /** Whether it may act for a team. */
    boolean mayActFor(TeamId other) {
        return team.equals(other) || role == Role.OPERATOR;
    }
}
