package org.foxtailplank.schedule;

import java.util.Collection;

/**
 * Whether the owner reaches enough to go on owning.
 *
 * <p>Guards against an owner whose zone is cut off but for the store: it goes on writing, so that
 * no other node replaces it, while most workers run out of their leases and no VM can be moved. It
 * gives its place up when the VM service has not answered for some time and a good part of the
 * workers is silent; either alone happens without a cut, and then no other node would do better.
 */
public final class Reach {
    /** Time without an answer of the VM service, in milliseconds: some lists in a row. */
    private static final long UNANSWERED_MS = 1800;

    /**
     * Share of the workers that must be silent. Behind a cut of the owner's own zone all others
     * are: two thirds with three zones, more with more. Where another zone is cut off, perhaps the
     * one in which the VM service stands, it is a third, and no other node would reach more.
     */
    private static final double SILENT_SHARE = 0.45;

    private Reach() {}

    /** Whether another node would probably reach more. */
    public static boolean isCutOff(
            Collection<WorkerState> workers, long lastVmAnswerMs, long nowMs) {
        if (nowMs - lastVmAnswerMs < UNANSWERED_MS) {
            return false;
        }
        long listed = workers.stream().filter(WorkerState::isListed).count();
        long silent = workers.stream().filter(w -> w.isListed() && w.isSilent()).count();
        return silent > SILENT_SHARE * listed;
    }
}
