package org.foxtailplank.internal.placement;

import java.util.List;

/**
 * Batch tasks to preempt on one worker.
 *
 * @param worker the worker
 * @param victims tasks to preempt
 * @param byThrottling whether throttling is sufficient
 */
record PreemptionPlan(WorkerEntry worker, List<PlacedTask> victims, boolean byThrottling) {

    private static final int CHECKPOINT_COST = 100;

    /** Returns the cost for the batch work; throttling is cheaper than a checkpoint. */
    int cost() {
        return byThrottling ? victims.size() : CHECKPOINT_COST * victims.size();
    }
}
