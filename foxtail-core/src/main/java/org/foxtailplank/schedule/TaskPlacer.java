package org.foxtailplank.schedule;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Assigns runnable tasks to workers and preempts others for urgent tasks that don't fit. */
final class TaskPlacer {
    private final RunTable mRuns;
    private final AdviceRequests mAdvice;

    TaskPlacer(RunTable runs, AdviceRequests advice) {
        mRuns = runs;
        mAdvice = advice;
    }

    /** Plans starts of the tasks whose dependencies are done, in the order of the given runs. */
    void place(
            List<ActiveRun> runs,
            List<WorkerState> workers,
            OrganisationCaps caps,
            Decisions out,
            long nowMs) {
        for (ActiveRun run : runs) {
            for (ActiveStep step : run.steps()) {
                if (step.remainingTasks() > 0 && run.areDependenciesDone(step)) {
                    placeStep(step, workers, caps, out, nowMs);
                    if (step.needsTickets()) {
                        mAdvice.consider(step, workers, caps, nowMs);
                    }
                }
            }
        }
    }

    /** Requests the advice that the starts of such tasks will need, without planning any. */
    void considerAdvice(
            List<ActiveRun> runs, List<WorkerState> workers, OrganisationCaps caps, long nowMs) {
        for (ActiveRun run : runs) {
            for (ActiveStep step : run.steps()) {
                boolean ready = step.remainingTasks() > 0 && run.areDependenciesDone(step);
                if (ready && step.needsTickets()) {
                    mAdvice.consider(step, workers, caps, nowMs);
                }
            }
        }
    }

    private void placeStep(
            ActiveStep step,
            List<WorkerState> workers,
            OrganisationCaps caps,
            Decisions out,
            long nowMs) {
        if (step.spec().placement().gang()) {
            boolean admitted = caps.admits(step, step.tasks().size());
            if (step.tasks().get(0).isBackingOff(nowMs) || !admitted) {
                return;
            }
            Map<ActiveTask, WorkerState> placed = GangPlacement.place(step, workers, nowMs);
            if (placed.isEmpty()) {
                step.tasks().forEach(t -> t.recordNoRoom(nowMs));
            } else {
                step.tasks().forEach(ActiveTask::clearNoRoom);
                startGang(step, placed, out, nowMs);
            }
            return;
        }
        for (ActiveTask task : step.tasks()) {
            if (!task.isWaiting() || task.isBackingOff(nowMs)) {
                continue;
            }
            if (!caps.admits(step, 1)) {
                return;
            }
            Optional<WorkerState> worker = WorkerChooser.choose(task, workers, nowMs);
            if (worker.isEmpty() && task.crashes().needsIsolation()) {
                continue;
            }
            if (worker.isEmpty()) {
                if (step.job().isEntitled()) {
                    preempt(task, workers, nowMs);
                }
                step.tasks().stream()
                        .filter(ActiveTask::isWaiting)
                        .forEach(s -> s.recordNoRoom(nowMs));
                return;
            }
            task.clearNoRoom();
            start(task, worker.get(), mRuns.nextAttempt(task), out, nowMs);
        }
    }

    private void preempt(ActiveTask task, List<WorkerState> workers, long nowMs) {
        long waited = task.recordNoRoom(nowMs);
        for (TaskRun r : Preemption.forTask(task, workers, waited, nowMs)) {
            r.requestStop("makes room for " + task.name(), nowMs);
        }
    }

    /** Starts a gang; all members share one attempt number and checkpoint. */
    private void startGang(
            ActiveStep step, Map<ActiveTask, WorkerState> placed, Decisions out, long nowMs) {
        int attempt = mRuns.nextAttempt(step);
        String checkpoint = "";
        for (ActiveTask s : step.tasks()) {
            checkpoint = s.checkpoint().isEmpty() ? checkpoint : s.checkpoint();
        }
        for (Map.Entry<ActiveTask, WorkerState> e : placed.entrySet()) {
            e.getKey().setCheckpoint(checkpoint);
            start(e.getKey(), e.getValue(), attempt, out, nowMs);
        }
    }

    private void start(
            ActiveTask task, WorkerState worker, int attempt, Decisions out, long nowMs) {
        TaskRun run = new TaskRun(task, worker, attempt, nowMs);
        mRuns.addRun(run);
        out.planned().add(run);
    }
}
