package org.foxtailplank.schedule;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.foxtailplank.job.WorkerIncarnation;

/**
 * Requests placement advice for steps that wait without a worker holding a valid ticket, and for
 * recorded starts whose ticket is no longer valid.
 *
 * <p>The advice service handles one request at a time and rejects others under load. A step
 * therefore asks once for all workers that may still be allowed, and has at most one request
 * pending.
 */
final class AdviceRequests {
    private AdviceRequests() {}

    static void request(ActiveStep step, List<WorkerState> workers, Decisions out, long nowMs) {
        if (step.isAdvicePending()) {
            return;
        }
        Set<WorkerIncarnation> asked = new LinkedHashSet<>();
        for (TaskRun r : step.startsWithoutTicket(nowMs)) {
            asked.add(r.worker().incarnation());
        }
        boolean waits = step.tasks().stream().anyMatch(ActiveTask::isWaiting);
        if (waits && !hasTicket(step, workers, nowMs)) {
            for (WorkerState w : workers) {
                if (w.isUsable(nowMs)) {
                    asked.add(w.incarnation());
                }
            }
        }
        asked.removeIf(w -> !step.advice(w).mayAsk(nowMs));
        if (!asked.isEmpty()) {
            step.markAdvicePending();
            out.adviceRequests().add(new Decisions.AdviceRequest(step, List.copyOf(asked)));
        }
    }

    private static boolean hasTicket(ActiveStep step, List<WorkerState> workers, long nowMs) {
        for (WorkerState w : workers) {
            if (w.isUsable(nowMs) && step.advice(w.incarnation()).hasValidTicket(nowMs)) {
                return true;
            }
        }
        return false;
    }
}
