package org.foxtailplank.schedule;

import java.util.ArrayList;
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
            withdrawStarts(w, runs, nowMs);
            boolean full = w.isOverCapacity();
            for (TaskRun r : w.runs()) {
                boolean due = r.isCommandDue() && nowMs - r.lastCommandMs() >= RESEND_MS;
                boolean starting = r.phase() == RunPhase.STARTING;
                if (due && !(starting && (full || isHeld(r, nowMs)))) {
                    send(r, out, nowMs);
                }
            }
        }
    }

    /**
     * Withdraws starts that have become useless: on a worker whose capacity has shrunk, as not all
     * workers reject what exceeds it, on one that is about to leave, and those that were denied the
     * ticket that they waited for.
     */
    private static void withdrawStarts(WorkerState worker, RunTable runs, long nowMs) {
        for (TaskRun r : dueStarts(worker)) {
            // The starts of a gang are withdrawn together.
            if (!isDueStart(r) || !worker.runs().contains(r)) {
                continue;
            }
            if (worker.isOverCapacity() && worker.isOverCapacityAfterStops()) {
                withdraw(r, "no longer fits its worker", runs, nowMs);
            } else if (worker.registration().isDraining()) {
                withdraw(r, "its worker drains", runs, nowMs);
            } else if (isDenied(r)) {
                withdrawWithGang(r, runs, nowMs);
            }
        }
    }

    /** Withdraws a start that was denied its ticket, and the starts of the other gang members. */
    private static void withdrawWithGang(TaskRun denied, RunTable runs, long nowMs) {
        ActiveStep step = denied.task().step();
        List<TaskRun> starts =
                step.spec().placement().gang()
                        ? step.tasks().stream()
                                .flatMap(t -> t.runs().stream())
                                .filter(DueCommands::isDueStart)
                                .toList()
                        : List.of(denied);
        starts.forEach(r -> withdraw(r, "denied by the placement advice", runs, nowMs));
    }

    /** Removes the runs whose starts aren't recorded yet; no worker has been told of them. */
    static void withdrawPlanned(Collection<WorkerState> workers, RunTable runs) {
        for (WorkerState w : workers) {
            for (TaskRun r : List.copyOf(w.runs())) {
                if (r.phase() == RunPhase.PLANNED) {
                    runs.dropRun(r, "the store takes no records");
                }
            }
        }
    }

    private static List<TaskRun> dueStarts(WorkerState worker) {
        List<TaskRun> starts = new ArrayList<>();
        for (TaskRun r : worker.runs()) {
            if (isDueStart(r)) {
                starts.add(r);
            }
        }
        return starts;
    }

    private static boolean isDueStart(TaskRun run) {
        return run.phase() == RunPhase.STARTING && run.isCommandDue();
    }

    private static void withdraw(TaskRun run, String reason, RunTable runs, long nowMs) {
        if (run.isUncertain()) {
            run.requestStop(reason, nowMs);
        } else {
            runs.dropRun(run, reason);
        }
    }

    /** Whether a start was denied the ticket that it waited for. */
    private static boolean isDenied(TaskRun run) {
        ActiveStep step = run.task().step();
        return step.needsTickets() && step.advice(run.worker().incarnation()).isDenied();
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

    private static boolean isHeld(TaskRun run, long nowMs) {
        return isInDoubt(run.worker()) || hasOtherRun(run) || lacksTicket(run, nowMs);
    }

    /**
     * Whether another incarnation may have replaced a worker's. Commands name the worker by its ID
     * alone, so that the next one, which may be of another kind, would execute them.
     */
    private static boolean isInDoubt(WorkerState worker) {
        return !worker.isPolled() || !worker.hasAnsweredLastPoll();
    }

    /**
     * Whether a run that a worker has listed after this one was planned is not over yet. The
     * members of a gang wait together.
     */
    private static boolean hasOtherRun(TaskRun run) {
        ActiveStep step = run.task().step();
        return step.spec().placement().gang()
                ? step.tasks().stream().anyMatch(t -> t.runs().size() > 1)
                : run.task().runs().size() > 1;
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
