package org.foxtailplank.fleet;

import java.util.Map;
import org.foxtailplank.id.PoolId;
import org.foxtailplank.id.VmId;
import org.foxtailplank.internal.buffer.PoolHistory;

/**
 * What a controller remembers between plans; one that starts anew begins with none.
 *
 * @param pools history of each pool
 * @param moved time of the last move of each VM that moved lately
 */
public record BufferHistory(Map<PoolId, PoolHistory> pools, Map<VmId, Long> moved) {

    /** Nothing is remembered. */
    public static BufferHistory none() {
        return new BufferHistory(Map.of(), Map.of());
    }
}
