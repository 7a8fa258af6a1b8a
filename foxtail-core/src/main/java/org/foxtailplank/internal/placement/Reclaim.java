package org.foxtailplank.internal.placement;

import java.util.List;

/**
 * Batch work that gives way on one worker.
 *
 * @param worker the worker
 * @param victims tasks that give way
 * @param byThrottling whether running them slower is enough
 */
record Reclaim(WorkerEntry worker, List<PlacedTask> victims, boolean byThrottling) {

    private static final int CHECKPOINT_COST = 100;

    /** What it costs the batch work; throttling goes before checkpoints. */
    int cost() {
        return byThrottling ? victims.size() : CHECKPOINT_COST * victims.size();
    }
}
