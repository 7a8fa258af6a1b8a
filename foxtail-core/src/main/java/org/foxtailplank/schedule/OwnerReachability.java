package org.foxtailplank.schedule;

import java.util.Collection;

/**
 * Detects that the owner is cut off from most of the system and should resign ownership.
 *
 * <p>Guards against an owner whose zone is partitioned from everything but the store: its writes
 * keep other nodes from replacing it, while most workers lose their leases and no VM can be moved.
 * The owner is cut off if the VM service has not answered for some time and many workers are
 * unresponsive; either alone also has causes that another owner would not cure.
 *
 * <p>A worker whose late answers still arrive is reached: the owner's link is full, and the next
 * owner would fill its own with the same work.
 */
public final class OwnerReachability {
    /** Time without an answer, in milliseconds: a list that times out, and pauses around it. */
    private static final long UNANSWERED_MS = 1800;

    /**
     * Minimum share of unreached workers. With three zones or more, an owner whose zone is cut off
     * misses at least two thirds; one that misses another zone has at most a third, and no other
     * node would reach more.
     */
    private static final double UNREACHED_SHARE = 0.45;

    private OwnerReachability() {}

    /** Whether another node could probably reach more. */
    public static boolean isCutOff(
            Collection<WorkerState> workers, long lastVmAnswerMs, long nowMs) {
        long sinceMs = nowMs - UNANSWERED_MS;
        if (lastVmAnswerMs > sinceMs) {
            return false;
        }
        long listed = workers.stream().filter(w -> w.registration().isListed()).count();
        long unreached = workers.stream().filter(w -> isUnreached(w, sinceMs)).count();
        return unreached > UNREACHED_SHARE * listed;
    }

    private static boolean isUnreached(WorkerState worker, long sinceMs) {
        return worker.registration().isListed()
                && worker.isUnresponsive()
                && !worker.hasAnsweredLateSince(sinceMs);
    }
}
