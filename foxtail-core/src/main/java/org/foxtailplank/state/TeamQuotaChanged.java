package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.TeamId;

/**
 * Change of a team's quota.
 *
 * @param team the team
 * @param quota share under contention
 * @param author who made the change, and why
 */
public record TeamQuotaChanged(TeamId team, double quota, ChangeAuthor author) implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(team));
    }
}
