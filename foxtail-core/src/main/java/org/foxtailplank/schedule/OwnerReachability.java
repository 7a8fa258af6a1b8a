package org.foxtailplank.schedule;

import java.util.Collection;

/**
 * Detects that the owner is cut off from most of the system and should resign ownership.
 *
 * <p>Guards against an owner whose zone is partitioned from everything but the store: its writes
 * keep other nodes from replacing it, while most workers lose their leases and no VM can be moved.
 * The owner is cut off if the VM service has not answered for some time and many workers are
 * unresponsive; either alone also has causes that another owner would not cure.
 */
public final class OwnerReachability {
    /** Time without an answer of the VM service, in milliseconds; spans several lists. */
    private static final long UNANSWERED_MS = 1800;

    /**
     * Minimum share of unresponsive workers. With three zones or more, an owner whose zone is cut
     * off misses at least two thirds; one that misses another zone has at most a third, and no
     * other node would reach more.
     */
    private static final double UNRESPONSIVE_SHARE = 0.45;

    private OwnerReachability() {}

    /** Whether another node could probably reach more. */
    public static boolean isCutOff(
            Collection<WorkerState> workers, long lastVmAnswerMs, long nowMs) {
        if (nowMs - lastVmAnswerMs < UNANSWERED_MS) {
            return false;
        }
        long listed = workers.stream().filter(WorkerState::isListed).count();
        long unresponsive =
                workers.stream().filter(w -> w.isListed() && w.isUnresponsive()).count();
        return unresponsive > UNRESPONSIVE_SHARE * listed;
    }
}
