package org.foxtailplank.state;

import java.util.Set;
import org.foxtailplank.id.PoolId;

/**
 * The target or the reserve of a pool changes.
 *
 * @param pool the pool
 * @param target VMs powered on for the declared jobs
 * @param reserve VMs powered on beyond that
 * @param author who and why
 */
public record PoolTargetChanged(PoolId pool, int target, int reserve, Author author)
        implements Change {

    @Override
    public Set<ObjectKey> touches() {
        return Set.of(ObjectKey.of(pool));
    }
}
