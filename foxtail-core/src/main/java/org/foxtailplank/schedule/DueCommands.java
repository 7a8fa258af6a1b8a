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
            withdrawHopelessStarts(w, runs, nowMs);
            boolean full = w.isOverCapacity();
            for (TaskRun r : w.runs()) {
                boolean starting = r.phase() == RunPhase.STARTING;
                boolean held = starting && (full || lacksTicket(r, nowMs));
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
                withdraw(r, "no longer fits its worker", runs, nowMs);
            }
        }
    }

    private static void withdraw(TaskRun run, String reason, RunTable runs, long nowMs) {
        if (run.isUncertain()) {
            run.requestStop(reason, nowMs);
        } else {
            runs.removeRun(run);
        }
    }

    /**
     * Withdraws starts that waited for another ticket and were denied it, and those on a worker
     * that is about to leave: a repeated one would begin late, and end with the worker.
     */
    private static void withdrawHopelessStarts(WorkerState worker, RunTable runs, long nowMs) {
        for (TaskRun r : List.copyOf(worker.runs())) {
            boolean due = r.phase() == RunPhase.STARTING && r.isCommandDue();
            if (due && worker.info().draining()) {
                withdraw(r, "its worker drains", runs, nowMs);
            } else if (due && isDenied(r, nowMs)) {
                withdraw(r, "denied by the placement advice", runs, nowMs);
            }
        }
    }

    /** Whether a start, or that of another member of its gang, was denied a ticket. */
    private static boolean isDenied(TaskRun run, long nowMs) {
        ActiveStep step = run.task().step();
        boolean gang = step.spec().placement().gang();
        return step.startsWithoutTicket(nowMs).stream()
                .filter(r -> gang || r == run)
                .anyMatch(r -> step.advice(r.worker().incarnation()).isDenied());
    }

    /**
     * Whether a start has to wait for a ticket. The members of a gang wait for each other's, since
     * those that have started give up if the others don't join them in time.
     */
    private static boolean lacksTicket(TaskRun run, long nowMs) {
        ActiveStep step = run.task().step();
        if (!step.needsTickets()) {
            return false;
        }
        return step.spec().placement().gang()
                ? !step.startsWithoutTicket(nowMs).isEmpty()
                : step.ticket(run.worker().incarnation(), nowMs).isEmpty();
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
