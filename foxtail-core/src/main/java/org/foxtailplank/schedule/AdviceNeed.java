package org.foxtailplank.schedule;

import java.util.ArrayList;
import java.util.List;

/**
 * Asks a queue's advice about workers, where a step waits and no worker with a good ticket is left.
 *
 * <p>The advice answers one call at a time and refuses when many wait, so that a step asks once for
 * all workers that it may know nothing of, and not again before the answer.
 */
final class AdviceNeed {
    private AdviceNeed() {}

    static void ask(ActiveStep step, List<WorkerState> workers, Decisions out, long nowMs) {
        boolean waits = step.slots().stream().anyMatch(TaskSlot::isWaiting);
        if (!waits || step.isAsking()) {
            return;
        }
        List<String> unknown = new ArrayList<>();
        for (WorkerState w : workers) {
            if (w.isUsable(nowMs) && step.mayAsk(w.id())) {
                unknown.add(w.id());
            }
        }
        boolean canGoOn =
                workers.stream()
                        .anyMatch(w -> w.isUsable(nowMs) && step.ticket(w.id(), nowMs).isPresent());
        if (!canGoOn && !unknown.isEmpty()) {
            step.asking();
            out.asks().add(new Decisions.Ask(step, unknown));
        }
    }
}
