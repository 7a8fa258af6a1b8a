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

    /** Share of the workers that must be silent: half of a zone of three. */
    private static final double SILENT_SHARE = 0.2;

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
