package org.foxtailplank.internal.placement;

import java.util.Optional;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;

/** Brings the indexes in line with what the log says of a task. */
final class TaskEvents {

    /** Failures of one task after which its job is held to be at fault. */
    private static final int MOST_ATTEMPTS = 20;

    private final PlacementState mState;

    TaskEvents(PlacementState state) {
        mState = state;
    }

    void seen(TaskId id, TaskState task, long nowMs) {
        JobEntry job = mState.jobs().get(id.job());
        // A record of an earlier attempt comes late; the higher attempt has fenced it.
        if (job == null || task.attempt() < job.attempt(id.index())) {
            return;
        }
        job.known(id.index());
        boolean ended = task.outcome().isPresent() && task.outcome().get() != TaskOutcome.RUNNING;
        if (ended) {
            ended(job, id.index(), task, nowMs);
        } else {
            stands(job, id, task, nowMs);
        }
        mState.poolOf(job).sort(job);
        if (job.isOver() && job.refused().isEmpty()) {
            mState.jobs().remove(job.id());
            mState.poolOf(job).forget(job);
        }
    }

    private void stands(JobEntry job, TaskId id, TaskState state, long nowMs) {
        PlacedTask task = job.placed().get(id.index());
        boolean same =
                task != null
                        && task.attempt() == state.attempt()
                        && task.worker().worker().id().equals(state.worker());
        if (!same) {
            if (task != null) {
                mState.displace(task);
            }
            WorkerEntry worker = mState.workerOrClosed(state.worker(), job);
            task =
                    mState.place(
                            job, id.index(), worker, state.attempt(), TaskPhase.STARTING, nowMs);
        }
        boolean running = state.outcome().isPresent();
        TaskPhase phase = phaseOf(state.action(), running);
        if (task.phase() == TaskPhase.THROTTLED && phase == TaskPhase.RUNNING) {
            phase = TaskPhase.THROTTLED;
        }
        boolean started = task.phase().isStarting() && !phase.isStarting();
        task.enter(phase, state.action(), nowMs);
        if (started) {
            mState.pool(task.worker().worker().pool()).roomChanged();
        }
        if (running) {
            task.heard(nowMs);
        }
        mState.reserve(task, task.need());
        mState.timers().at(nowMs + mState.settings().answerPatience().toMillis(), task);
        if (job.isCancelled() && phase != TaskPhase.LEAVING) {
            stop(task, nowMs);
        }
    }

    private static TaskPhase phaseOf(TaskAction action, boolean running) {
        return switch (action) {
            case START -> running ? TaskPhase.RUNNING : TaskPhase.STARTING;
            case THROTTLE -> TaskPhase.THROTTLED;
            case CHECKPOINT, STOP -> TaskPhase.LEAVING;
        };
    }

    void stop(PlacedTask task, long nowMs) {
        task.enter(TaskPhase.LEAVING, TaskAction.STOP, nowMs);
        mState.outbox().ask(task, TaskAction.STOP, false, "its job is cancelled");
        mState.timers().at(nowMs + mState.settings().answerPatience().toMillis(), task);
    }

    private void ended(JobEntry job, int index, TaskState state, long nowMs) {
        Optional<PlacedTask> task = Optional.ofNullable(job.placed().get(index));
        boolean leaving = task.filter(t -> t.phase() == TaskPhase.LEAVING).isPresent();
        job.attempt(index, state.attempt());
        task.ifPresent(mState::displace);
        switch (state.outcome().orElseThrow()) {
            case SUCCEEDED -> {
                job.done();
                task.ifPresent(t -> t.worker().health().succeeded());
            }
            case FAILED -> {
                if (!leaving) {
                    failed(job, index, state, nowMs);
                }
                again(job, index);
            }
            default -> again(job, index);
        }
    }

    private static void again(JobEntry job, int index) {
        if (!job.isCancelled()) {
            job.again(index);
        }
    }

    private void failed(JobEntry job, int index, TaskState state, long nowMs) {
        Optional<WorkerEntry> worker = mState.worker(state.worker());
        if (worker.isPresent()) {
            WorkerHealth health = worker.get().health();
            boolean guilty = health.failed(job.id(), job.runsSomewhere(), nowMs);
            mState.resting().add(worker.get());
            if (guilty) {
                quarantined(worker.get(), nowMs);
                return;
            }
        }
        boolean everywhere = job.failedOn(state.worker()) && !job.runsSomewhere();
        if (everywhere || job.attempt(index) >= MOST_ATTEMPTS) {
            mState.refuse(
                    job,
                    String.format(
                            "its tasks failed on %d workers that run other jobs (%s); mend the job"
                                    + " and submit it anew",
                            job.failedOn().size(), job.failedOn()));
        }
    }

    /** The worker is at fault, so what failed on it is not held against the jobs. */
    private void quarantined(WorkerEntry worker, long nowMs) {
        long seconds = (worker.health().closedUntilMs() - nowMs) / 1000;
        String why =
                String.format(
                        "%d tasks in a row failed on it; it gets no tasks for %d s, then one on"
                                + " trial",
                        worker.health().failures(), seconds);
        mState.outbox().quarantined(worker.worker().id(), why);
        for (var id : worker.health().failedJobs()) {
            JobEntry job = mState.jobs().get(id);
            if (job != null) {
                job.forgive(worker.worker().id());
            }
        }
    }
}
