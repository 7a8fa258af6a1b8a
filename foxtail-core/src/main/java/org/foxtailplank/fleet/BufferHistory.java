package org.foxtailplank.fleet;

import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.buffer.PoolHistory;

/**
 * History that a controller keeps in memory between plans.
 *
 * @param pools history of each pool
 * @param moved time of the last move of each VM that moved within the cooldown
 */
public record BufferHistory(Map<PoolId, PoolHistory> pools, Map<VmId, Long> moved) {

    /** Returns an empty history. */
    public static BufferHistory none() {
        return new BufferHistory(Map.of(), Map.of());
    }
}
