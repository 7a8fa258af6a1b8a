package org.foxtailplank.schedule;

import java.util.Collection;
import java.util.List;

/** Collects the start and stop commands that are due, and withdraws starts that no longer fit. */
final class DueCommands {
    /** Delay before an unanswered command is sent again, in milliseconds. */
    private static final long RESEND_MS = 250;

    private DueCommands() {}

    /** Adds the due commands of all workers to the decisions. */
    static void collect(Collection<WorkerState> workers, RunTable runs, Decisions out, long nowMs) {
        for (WorkerState w : workers) {
            if (w.isOverCapacity()) {
                withdrawStarts(w, runs, nowMs);
            }
            boolean full = w.isOverCapacity();
            for (TaskRun r : w.runs()) {
                boolean held = full && r.phase() == RunPhase.STARTING;
                if (!held && r.isCommandDue() && nowMs - r.lastCommandMs() >= RESEND_MS) {
                    send(r, out, nowMs);
                }
            }
        }
    }

    /**
     * Withdraws starts that no longer fit a worker whose capacity has shrunk. Not all workers
     * reject what exceeds their capacity.
     */
    private static void withdrawStarts(WorkerState worker, RunTable runs, long nowMs) {
        for (TaskRun r : List.copyOf(worker.runs())) {
            boolean due = r.phase() == RunPhase.STARTING && r.isCommandDue();
            if (due && worker.isOverCapacityAfterStops()) {
                if (r.isUncertain()) {
                    r.requestStop("no longer fits its worker", nowMs);
                } else {
                    runs.removeRun(r);
                }
            }
        }
    }

    private static void send(TaskRun run, Decisions out, long nowMs) {
        if (run.phase() == RunPhase.STOPPING) {
            out.stops().add(run);
        } else if (run.phase() == RunPhase.STARTING) {
            String ticket = run.task().step().ticket(run.worker().incarnation(), nowMs).orElse("");
            out.starts().add(new Decisions.Start(run, ticket));
        }
        run.setCommandDue(false);
        run.recordCommandSent(nowMs);
    }
}
