package org.foxtailplank.schedule;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Gives the tasks whose turn it is to workers, and makes room where an urgent one finds none. */
final class TaskPlacer {
    private final RunTable mRuns;

    TaskPlacer(RunTable runs) {
        mRuns = runs;
    }

    /** Plans starts of the tasks whose turn it is, in the order of their runs. */
    void place(List<ActiveRun> runs, List<WorkerState> workers, Decisions out, long nowMs) {
        for (ActiveRun run : runs) {
            for (ActiveStep step : run.steps()) {
                if (step.left() > 0 && run.isTurnOf(step)) {
                    placeStep(step, workers, out, nowMs);
                }
            }
        }
    }

    private void placeStep(ActiveStep step, List<WorkerState> workers, Decisions out, long nowMs) {
        if (step.job().order().terms().advice().isPresent()) {
            AdviceNeed.ask(step, workers, out, nowMs);
        }
        if (step.spec().placement().gang()) {
            startGang(step, GangPlacement.place(step, workers, nowMs), out, nowMs);
            return;
        }
        for (TaskSlot slot : step.slots()) {
            if (!slot.isWaiting()) {
                continue;
            }
            Optional<WorkerState> worker = WorkerChooser.choose(slot, workers, nowMs);
            if (worker.isEmpty()) {
                makeRoom(slot, workers, nowMs);
                step.slots().stream().filter(TaskSlot::isWaiting).forEach(s -> s.noRoom(nowMs));
                return;
            }
            slot.hasRoom();
            start(slot, worker.get(), mRuns.nextAttempt(slot), out, nowMs);
        }
    }

    private void makeRoom(TaskSlot slot, List<WorkerState> workers, long nowMs) {
        long waited = slot.noRoom(nowMs);
        for (TaskRun r : Preemption.forTask(slot, workers, waited, nowMs)) {
            r.stopping("makes room for " + slot.name(), nowMs);
        }
    }

    /** All members carry the same number and the same checkpoint. */
    private void startGang(
            ActiveStep step, Map<TaskSlot, WorkerState> placed, Decisions out, long nowMs) {
        if (placed.isEmpty()) {
            return;
        }
        int attempt = mRuns.nextAttempt(step);
        String checkpoint = "";
        for (TaskSlot s : step.slots()) {
            checkpoint = s.checkpoint().isEmpty() ? checkpoint : s.checkpoint();
        }
        for (Map.Entry<TaskSlot, WorkerState> e : placed.entrySet()) {
            e.getKey().checkpoint(checkpoint);
            start(e.getKey(), e.getValue(), attempt, out, nowMs);
        }
    }

    private void start(TaskSlot slot, WorkerState worker, int attempt, Decisions out, long nowMs) {
        TaskRun run = new TaskRun(slot, worker, attempt, nowMs);
        mRuns.start(run);
        out.planned().add(run);
    }
}
