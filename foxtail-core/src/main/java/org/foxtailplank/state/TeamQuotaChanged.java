package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.TeamId;

/**
 * The quota of a team changes.
 *
 * @param team the team
 * @param quota share under contention
 * @param author who and why
 */
public record TeamQuotaChanged(TeamId team, double quota, Author author) implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(team));
    }
}
