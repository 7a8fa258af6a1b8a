package org.foxtailplank.node.admission;

import java.util.IdentityHashMap;
import java.util.Map;
import org.foxtailplank.admission.QueueCapacity;

/**
 * Images of the pools of one measurement. The reports to all nodes share them but for the node's
 * share and part, as 40 followers get a report five times a second.
 */
public final class ReportImages {
    private final Map<QueueCapacity, PoolImage> mImages = new IdentityHashMap<>();

    PoolImage of(ReportedPool pool) {
        return mImages.computeIfAbsent(pool.capacity(), PoolImage::of).withShare(pool);
    }
}
