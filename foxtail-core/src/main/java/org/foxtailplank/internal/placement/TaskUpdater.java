package org.foxtailplank.internal.placement;

import java.util.Optional;
import org.foxtailplank.fleet.TaskId;
import org.foxtailplank.state.TaskAction;
import org.foxtailplank.state.TaskOutcome;
import org.foxtailplank.state.TaskState;

/** Updates the placer's indexes after changes of tasks in the log. */
final class TaskUpdater {

    /** Number of attempts of a task after which a failure refuses its job. */
    private static final int MAX_ATTEMPTS = 20;

    private final PlacementState mState;

    TaskUpdater(PlacementState state) {
        mState = state;
    }

    void apply(TaskId id, TaskState task, long nowMs) {
        JobEntry job = mState.jobs().get(id.job());
        // Ignores a delayed record of an earlier attempt, which the later attempt has fenced off.
        if (job == null || task.attempt() < job.attempt(id.index())) {
            return;
        }
        job.markRecorded(id.index());
        boolean ended = task.outcome().isPresent() && task.outcome().get() != TaskOutcome.RUNNING;
        if (ended) {
            applyEnded(job, id.index(), task, nowMs);
        } else {
            applyActive(job, id, task, nowMs);
        }
        mState.poolOf(job).updateQueue(job);
        if (job.isFinished() && job.refused().isEmpty()) {
            mState.jobs().remove(job.id());
            mState.poolOf(job).removeRefused(job);
        }
    }

    private void applyActive(JobEntry job, TaskId id, TaskState state, long nowMs) {
        PlacedTask task = job.placed().get(id.index());
        boolean same =
                task != null
                        && task.attempt() == state.attempt()
                        && task.worker().worker().id().equals(state.worker());
        if (!same) {
            if (task != null) {
                mState.displace(task);
            }
            WorkerEntry worker = mState.workerOrPlaceholder(state.worker(), job);
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
        task.transitionTo(phase, state.action(), nowMs);
        if (started) {
            mState.pool(task.worker().worker().pool()).capacityChanged();
        }
        if (running) {
            task.recordHeartbeat(nowMs);
        }
        mState.reserve(task, task.requirement());
        mState.timers().schedule(nowMs + mState.settings().answerTimeout().toMillis(), task);
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
        task.transitionTo(TaskPhase.LEAVING, TaskAction.STOP, nowMs);
        mState.outbox().add(task, TaskAction.STOP, false, "its job is cancelled");
        mState.timers().schedule(nowMs + mState.settings().answerTimeout().toMillis(), task);
    }

    private void applyEnded(JobEntry job, int index, TaskState state, long nowMs) {
        Optional<PlacedTask> task = Optional.ofNullable(job.placed().get(index));
        boolean leaving = task.filter(t -> t.phase() == TaskPhase.LEAVING).isPresent();
        job.raiseAttempt(index, state.attempt());
        task.ifPresent(mState::displace);
        switch (state.outcome().orElseThrow()) {
            case SUCCEEDED -> {
                job.taskSucceeded();
                task.ifPresent(t -> t.worker().health().recordSuccess());
            }
            case FAILED -> {
                if (!leaving) {
                    applyFailure(job, index, state, nowMs);
                }
                requeue(job, index);
            }
            default -> requeue(job, index);
        }
    }

    private static void requeue(JobEntry job, int index) {
        if (!job.isCancelled()) {
            job.requeue(index);
        }
    }

    private void applyFailure(JobEntry job, int index, TaskState state, long nowMs) {
        Optional<WorkerEntry> worker = mState.worker(state.worker());
        if (worker.isPresent()) {
            WorkerHealth health = worker.get().health();
            boolean quarantined =
                    health.recordFailure(job.id(), job.hasRunningOrSucceededTask(), nowMs);
            mState.backingOff().add(worker.get());
            if (quarantined) {
                reportQuarantine(worker.get(), nowMs);
                return;
            }
        }
        boolean rejected = job.recordFailure(state.worker()) && !job.hasRunningOrSucceededTask();
        if (rejected || job.attempt(index) >= MAX_ATTEMPTS) {
            mState.refuse(
                    job,
                    String.format(
                            "its tasks failed on %d workers that run other jobs (%s); fix the job"
                                    + " and submit it again",
                            job.failedOn().size(), job.failedOn()));
        }
    }

    /** Reports a quarantined worker and clears its failures from the jobs that failed on it. */
    private void reportQuarantine(WorkerEntry worker, long nowMs) {
        long seconds = (worker.health().closedUntilMs() - nowMs) / 1000;
        String why =
                String.format(
                        "%d tasks in a row failed on it; it gets no tasks for %d s, then one on"
                                + " trial",
                        worker.health().failures(), seconds);
        mState.outbox().addQuarantined(worker.worker().id(), why);
        for (var id : worker.health().failedJobs()) {
            JobEntry job = mState.jobs().get(id);
            if (job != null) {
                job.clearFailure(worker.worker().id());
            }
        }
    }
}
