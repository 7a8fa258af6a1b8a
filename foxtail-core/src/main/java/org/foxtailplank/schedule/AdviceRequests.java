package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;
import org.foxtailplank.job.WorkerIncarnation;

/**
 * Requests placement advice for steps that wait without a worker holding a valid ticket.
 *
 * <p>The advice service handles one request at a time and rejects others under load. A step
 * therefore asks once for all workers that may still be allowed, and has at most one request
 * pending.
 */
final class AdviceRequests {
    private AdviceRequests() {}

    static void request(ActiveStep step, List<WorkerState> workers, Decisions out, long nowMs) {
        boolean waits = step.tasks().stream().anyMatch(ActiveTask::isWaiting);
        if (!waits || step.isAdvicePending()) {
            return;
        }
        List<WorkerIncarnation> unknown = new ArrayList<>();
        for (WorkerState w : workers) {
            if (w.isUsable(nowMs) && step.mayRequestAdvice(w.incarnation())) {
                unknown.add(w.incarnation());
            }
        }
        boolean canGoOn =
                workers.stream()
                        .anyMatch(
                                w ->
                                        w.isUsable(nowMs)
                                                && step.ticket(w.incarnation(), nowMs).isPresent());
        if (!canGoOn && !unknown.isEmpty()) {
            step.markAdvicePending();
            out.adviceRequests().add(new Decisions.AdviceRequest(step, unknown));
        }
    }
}
