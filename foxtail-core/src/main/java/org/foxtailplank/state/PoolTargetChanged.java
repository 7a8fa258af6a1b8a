package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;

/**
 * Change of a pool's target and reserve.
 *
 * @param pool the pool
 * @param target VMs powered on for the declared jobs
 * @param reserve VMs powered on beyond the target
 * @param author who made the change, and why
 */
public record PoolTargetChanged(PoolId pool, int target, int reserve, ChangeAuthor author)
        implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(pool));
    }
}
